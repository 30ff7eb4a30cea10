Feature: Metrics

  Scenario: The exposition contains counters, gauges and histograms
    Given metrics with 2 finished calls of 10 and 20 ms and 7 calls in flight
    Then the exposition of the metrics contains these lines
      | line                                                                   |
      | # TYPE marigoldpost_calls_total counter                                |
      | marigoldpost_calls_total{service="quay-ops",result="ok"} 2             |
      | # TYPE marigoldpost_call_duration_ms summary                           |
      | marigoldpost_call_duration_ms_sum{service="quay-ops"} 30               |
      | marigoldpost_call_duration_ms_count{service="quay-ops"} 2              |
      | marigoldpost_calls_in_flight 7                                         |

  Scenario: Special characters in labels are escaped
    Given metrics with any label text
    Then each line of the exposition of the metrics is well formed
