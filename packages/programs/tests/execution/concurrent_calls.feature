Feature: Concurrent calls over failing holders

  Scenario: No mix of faults and takeovers breaks call order, history, budget or single runs
    Given any plan of callers, faults and takeovers of a partition
    Then every run of the plan preserves call order, history, budget and single bookings
