Feature: Experiments
  Compares policies on a virtual clock with fixed seeds.

  Scenario Outline: An experiment with the same seeds is reproducible
    Given a short experiment on workload "<workload>" with policy "<policy>"
    Then the experiment gives identical rows twice and different rows for different seeds

    Examples:
      | workload | policy           |
      | tran-gia | marigoldpost     |
      | tran-gia | session-affinity |
      | waikato  | marigoldpost     |
      | waikato  | oracle           |

  Scenario Outline: The shares of an experiment are consistent
    Given a short experiment on workload "<workload>" with policy "<policy>"
    Then the experiment's shares lie between 0 and 1 and sum to one at most

    Examples:
      | workload | policy        |
      | tran-gia | round-robin   |
      | tran-gia | power-of-two  |
      | waikato  | fcfs          |
      | waikato  | own-no-window |

  Scenario: Unknown workloads and policies are rejected
    Then an experiment on workload "hanoi" is rejected as "invalid_request"
    And an experiment with policy "best" is rejected as "invalid_request"

  Scenario: The comparison reports the relative change against the best baseline
    Given experiment rows in which policy "b" has half the latency of policy "a"
    Then the comparison finds "a" as the best baseline and a change of -50%

  Scenario: A plot names its policy
    Given a short experiment on workload "tran-gia" with policy "marigoldpost"
    Then the experiment's plots are SVG with the name of the policy
