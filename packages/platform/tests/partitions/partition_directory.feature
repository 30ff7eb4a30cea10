Feature: Partition directory

  Scenario Outline: Exactly one of two concurrent claims succeeds (<fault>)
    Given a partition directory whose platform has <fault>
    When two daemons claim the same partition of the directory concurrently
    Then one claim of the directory succeeds, and the directory names its daemon

    Examples:
      | fault             |
      | no fault          |
      | a lost answer     |
      | two lost answers  |

  Scenario: A claim based on an outdated epoch is rejected
    Given a partition directory whose platform has no fault
    When a daemon claims a partition of the directory at an outdated epoch
    Then the directory rejects that claim as version_conflict
