Feature: The demo's verdict
  Each violated guarantee is counted from the evidence of callers and stand-ins.

  Scenario: A run without faults violates no guarantee
    Given the evidence of a demo run without faults
    Then the demo's verdict is clean

  Scenario Outline: A build that <fault> is detected
    Given the evidence of a demo run without faults
    When a faulty build <fault>
    Then the demo's verdict counts 1 in "<count>"
    And the demo's verdict is not clean

    Examples:
      | fault                                        | count           |
      | runs a booking twice                         | doubledBookings |
      | confirms a booking that it never ran         | lostBookings    |
      | loses the last turn of a history             | wrongHistories  |
      | mixes two histories                          | wrongHistories  |
      | repeats a turn in a history                  | wrongHistories  |
      | lets a program and sub-agent exceed a budget | exceededBudgets |
      | reports an executed booking as not run       | falseRefusals   |
