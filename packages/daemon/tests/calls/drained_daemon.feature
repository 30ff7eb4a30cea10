Feature: A daemon whose calls outlast its drain time
  No other daemon can take the partitions over, so the calls run on. The drain
  time bounds the wait for them, and each caller receives an error.

  Scenario: A call that outlasts the drain time of the only daemon gets an error
    Given a daemon alone in its fleet, with a drain time of 5 s
    When it drains during a call of 200 s
    Then the caller of the drained daemon receives 503 "draining"
    And the daemon has stopped within 8 s
