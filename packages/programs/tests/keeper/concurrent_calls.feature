Feature: Concurrent calls over failing holders

  Scenario: Any mix of callers, faults and takeovers keeps the promises
    Given any plan of callers, faults and takeovers of a partition
    Then every run of the plan keeps order, history, budget and bookings
