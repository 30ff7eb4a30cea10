Feature: Log output that holds nobody up

  Scenario: A flood of lines is cut to the limit, and what is left out is counted
    Given a bounded output
    When 5000 lines are written within a second
    Then 1500 lines have passed and 3500 are counted as left out
    When a second passes and 10 more lines are written
    Then 1510 lines have passed and 0 are counted as left out

  Scenario: A reader that stalls costs lines, never time
    Given a process that logs to a reader that stalls
    Then the process writes 4 megabytes of lines in under 2000 ms
    And it counts lines as left out
