Feature: Background tasks

  Scenario: A task that rejects is logged, shown as failed and started again
    When a required background task rejects 2 times and then runs
    Then it has been started 1 times and is shown as failed
    When 1100 ms pass for the background task
    Then it has been started 2 times and is shown as failed
    When 1100 ms pass for the background task
    Then it has been started 3 times and is not shown as failed
    And 2 failures of the background task are logged

  Scenario: A task that a process can do without is started again, but not shown as failed
    When a background task rejects 1 times and then runs
    Then it has been started 1 times and is not shown as failed
    When 1100 ms pass for the background task
    Then it has been started 2 times and is not shown as failed

  Scenario: A task that ends is not started again
    When a required background task rejects 0 times and then ends
    And 5000 ms pass for the background task
    Then it has been started 1 times and is not shown as failed

  Scenario: A task that rejects is not started again once its process stops
    When a required background task rejects 5 times and then runs
    And the process of the background task stops
    And 5000 ms pass for the background task
    Then it has been started 1 times and is shown as failed
