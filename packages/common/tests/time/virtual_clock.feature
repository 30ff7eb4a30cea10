Feature: Virtual clock
  Timers fire in order of due time, and only when the clock advances.

  Scenario Outline: Timers fire when due
    Given a virtual clock with timers due at <delays> ms
    When the virtual clock advances by <elapsed> ms
    Then the virtual clock has fired <fired>

    Examples:
      | delays    | elapsed | fired     |
      | 5,3,9     | 4       | 3         |
      | 5,3,9     | 9       | 3,5,9     |
      | 7,7,1     | 7       | 1,7,7     |
      | 10        | 9       | none      |

  Scenario: A cancelled timer does not fire
    Given a virtual clock with timers due at 5,6 ms
    When the first timer of the virtual clock is cancelled
    And the virtual clock advances by 10 ms
    Then the virtual clock has fired 6
