Feature: Capacity measurements
  The measurements behind docs/CAPACITY.md, at small sizes.

  Scenario: Idle daemons hold every partition and make a fixed number of platform calls
    When capacity is measured for 2 idle daemons over 8 seconds
    Then capacity's idle daemons hold 16 partitions
    And each idle daemon of capacity made 60 writes, 150 reads and some heartbeats a minute

  Scenario Outline: Every token of a call is counted once
    When capacity is measured for 10 calls of <tokens> tokens
    Then capacity's callers received <received> tokens

    Examples:
      | tokens | received |
      | 1      | 10       |
      | 7      | 70       |

  Scenario: The journal batches writes as the call rate increases
    When capacity is measured for journals at 1 and at 100 calls a second
    Then capacity's journals write at most twice a call, and less often at the higher rate
    And a call of capacity's journals waits for the platform and makes no reads

  Scenario: The stored size of programs grows with their turns
    When capacity is measured for programs of 1 and of 3 turns
    Then capacity's stored bytes grow with the turns

  Scenario: The page has one table for each group of figures
    When capacity is measured at small sizes
    Then capacity's tables have a title for each group and a row for each size
