Feature: Bounded log output

  Scenario: Lines above the limit of a second are dropped and counted
    Given a bounded output
    When 5000 lines are logged within a second
    Then 1500 lines are written and 3500 are counted as dropped
    When a second passes and 10 more lines are logged
    Then 1510 lines are written and 0 are counted as dropped

  Scenario: A stalled reader of the log does not block the process
    Given a process whose log output is not read
    Then the process logs 4 megabytes of lines in under 2000 ms
    And it counts dropped lines
