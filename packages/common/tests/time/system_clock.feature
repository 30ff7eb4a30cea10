Feature: Timers of the system clock

  Scenario Outline: A timer of <delay> ms does not fire at once
    When a timer of <delay> ms is set on the system clock
    Then it has not fired after 50 ms

    Examples:
      | delay      |
      | 2147483648 |
      | 1e300      |
      | Infinity   |

  # Guards against replies that count as missing since the own process did not run.
  Scenario: A timer that is late fires after the data that has arrived is read
    Given a connected socket
    When data arrives before a timer of 20 ms, and the event loop is blocked for 100 ms
    Then the timer has fired after the data was read

  Scenario: A timer that is late does not fire if the data that has arrived cancels it
    Given a connected socket whose data cancels a timer
    When data arrives before a timer of 20 ms, and the event loop is blocked for 100 ms
    Then it has not fired after 50 ms
