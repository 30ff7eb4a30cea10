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

  Scenario: A connection that its target closes while it is idle is not kept until its idle timeout
    When a target that states "timeout=2" closes an idle connection
    Then its idle timeout does not run out
