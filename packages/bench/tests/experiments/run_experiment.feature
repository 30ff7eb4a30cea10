Feature: Experiments
  Policies compared on a virtual clock from fixed seeds.

  Scenario Outline: The same seed gives the same experiment twice
    Given a short experiment on workload "<workload>" with policy "<policy>"
    Then the experiment gives the same rows twice and other rows for other seeds

    Examples:
      | workload | policy           |
      | tran-gia | marigoldpost     |
      | tran-gia | session-affinity |
      | waikato  | marigoldpost     |
      | waikato  | oracle           |

  Scenario Outline: Every program of an experiment has one outcome
    Given a short experiment on workload "<workload>" with policy "<policy>"
    Then the experiment's shares lie between 0 and 1 and add up

    Examples:
      | workload | policy        |
      | tran-gia | round-robin   |
      | tran-gia | power-of-two  |
      | waikato  | fcfs          |
      | waikato  | own-no-window |

  Scenario: Unknown names are refused with the known ones
    Then an experiment on workload "hanoi" is refused as "invalid_request"
    And an experiment with policy "best" is refused as "invalid_request"

  Scenario: The comparison knows a better policy from a worse one
    Given experiment rows in which policy "b" takes half the time of policy "a"
    Then the comparison finds "a" as the best baseline and a change of -50%

  Scenario: A plot shows every policy
    Given a short experiment on workload "tran-gia" with policy "marigoldpost"
    Then the experiment's plots are SVG that names the policy
