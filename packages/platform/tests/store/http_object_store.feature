Feature: Object API client
  The same contract applies to the in-memory store and to the HTTP client.

  Scenario Outline: Objects, versions and lists (<transport>)
    Given an object API over <transport>
    When a client creates the objects a/1, a/2 and b/1 at the object API
    Then the object API gets a/1 and lists a/1 and a/2 under a/
    And the object API lists only a/2 after a/1
    And the object API does not return a removed object

    Examples:
      | transport |
      | memory    |
      | socket    |

  Scenario Outline: Invalid writes are rejected (<write>, <transport>)
    Given an object API over <transport>
    When a client creates the objects a/1, a/2 and b/1 at the object API
    Then the object API answers <write> with <kind>

    Examples:
      | write                     | transport | kind             |
      | a second create           | memory    | object_exists    |
      | a second create           | socket    | object_exists    |
      | an update of an old one   | memory    | version_conflict |
      | an update of an old one   | socket    | version_conflict |
      | an update of none         | memory    | object_missing   |
      | an update of none         | socket    | object_missing   |
      | a removal of an old one   | memory    | version_conflict |
      | a removal of an old one   | socket    | version_conflict |
      | a value over a megabyte   | memory    | too_large        |
      | a value over a megabyte   | socket    | too_large        |

  Scenario Outline: A watch reports changes (<transport>)
    Given an object API over <transport>
    When a client waits for changes under a/ while a/1 is created and removed
    Then the watch of the object API reported the creation and the removal

    Examples:
      | transport |
      | memory    |
      | socket    |

  Scenario Outline: A failed write tells if it took effect (<fault>, <transport>)
    Given an object API over <transport>
    When a client creates the object a/1 while the object API has <fault>
    Then the object API's client got <kind> and the object <exists>

    Examples:
      | fault          | transport | kind              | exists       |
      | an outage      | memory    | store_unavailable | is missing   |
      | an outage      | socket    | store_unavailable | is missing   |
      | a lost answer  | memory    | store_ambiguous   | exists       |
      | a lost answer  | socket    | store_ambiguous   | exists       |
      | a dead process | socket    | store_unavailable | is missing   |
      | a full rate    | socket    | store_unavailable | is missing   |
      | a silence      | socket    | store_ambiguous   | is missing   |

  Scenario: A read without a response fails as unavailable, not as ambiguous
    Given an object API over socket
    When a client reads the object a/1 while the object API has a silence
    Then the object API's client got store_unavailable and the object is missing
