Feature: Window of calls in flight at a target
  Keeps the engine's queue short without idling the engine.

  Scenario Outline: The window grows while few calls wait at the target, and not when more do
    Given a scheduler whose one target has a window of 4 and <queued> queued calls
    When that target reports <waiting> waiting calls <times> times
    Then the scheduler has <inFlight> calls in flight at that target

    Examples:
      | queued | waiting | times | inFlight |
      | 20     | 0       | 1     | 5        |
      | 20     | 0       | 4     | 8        |
      | 20     | 5       | 3     | 4        |
      | 2      | 0       | 4     | 6        |
