Feature: Timers of the system clock

  Scenario Outline: A timer of <delay> ms does not fire at once
    When a timer of <delay> ms is set on the system clock
    Then it has not fired after 50 ms

    Examples:
      | delay      |
      | 2147483648 |
      | 1e300      |
      | Infinity   |
