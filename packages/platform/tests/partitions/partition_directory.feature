Feature: Partition directory

  Scenario Outline: One of two claims at the same moment wins (<fault>)
    Given a partition directory whose platform has <fault>
    When two daemons claim the same partition of the directory at once
    Then one claim of the directory wins, and the directory names its daemon

    Examples:
      | fault             |
      | no fault          |
      | a lost answer     |
      | two lost answers  |

  Scenario: A claim on an old epoch is refused
    Given a partition directory whose platform has no fault
    When a daemon claims a partition of the directory on an epoch that has passed
    Then the directory refuses that claim as version_conflict
