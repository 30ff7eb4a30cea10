Feature: Kept connections to a target

  Scenario Outline: A target that states "<keep alive>" gets its second request on the <connection> connection
    When a target that states "<keep alive>" gets two requests 50 ms apart
    Then the second one came on the <connection> connection

    Examples:
      | keep alive                   | connection |
      | timeout=5                    | same       |
      | timeout=99999999999          | same       |
      | timeout=9e99                 | same       |
      | timeout=1                    | new        |
      | timeout=0                    | new        |
      | max=7                        | same       |
