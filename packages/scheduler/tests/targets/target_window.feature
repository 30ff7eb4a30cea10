Feature: Window of a target
  Small, but never so small that the engine idles.

  Scenario Outline: The window follows the target's reports
    Given a scheduler whose one target has a window of 4 and <queued> calls waiting
    When that target reports <waiting> waiting calls <times> times
    Then the scheduler has <inFlight> calls in flight at that target

    Examples:
      | queued | waiting | times | inFlight |
      | 20     | 0       | 1     | 5        |
      | 20     | 0       | 4     | 8        |
      | 20     | 5       | 3     | 4        |
      | 2      | 0       | 4     | 6        |
