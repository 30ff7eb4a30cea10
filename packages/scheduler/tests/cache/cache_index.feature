Feature: Index of cached blocks
  What a daemon can know of the engines' caches.

  Scenario: The index never grows over its bound
    Then for any uses and events the cache index stays within its bound

  Scenario Outline: Sources of the index
    Given a cache index that uses <sources>
    When an own call uses 4 blocks on target 0 and target 1 stores the first 2
    Then the cache index counts <first> blocks on target 0 and <second> on target 1

    Examples:
      | sources        | first | second |
      | own dispatches | 4     | 0      |
      | events         | 0     | 2      |
      | both           | 4     | 2      |

  Scenario Outline: Death of blocks
    Given a cache index that uses both
    When an own call uses 4 blocks on target 0 and target 1 stores the first 2
    And target 0 reports <event>
    Then the cache index counts <first> blocks on target 0 and 2 on target 1

    Examples:
      | event                | first |
      | the last two removed | 2     |
      | a cleared cache      | 0     |
      | nothing              | 4     |

  Scenario Outline: Own recency stands in for removals that were not told
    Given a cache index <mode> own recency and a target with 10 blocks
    When an own call uses 4 blocks there and <newer> newer blocks come after
    Then the cache index counts <count> of the first call's blocks

    Examples:
      | mode    | newer | count |
      | with    | 5     | 4     |
      | with    | 20    | 0     |
      | without | 20    | 4     |

  Scenario: Hashes chain over blocks
    Then prompts that part in their second block share only the first hash
