Feature: Invariants under arbitrary faults
  Concurrent programs run on three daemons, in-memory interfaces and one virtual
  clock. A checker compares what callers, engines and services recorded with the
  invariants.

  Scenario: Recorded histories violate no invariant under arbitrary faults
    Given 50 histories recorded under arbitrary faults from seed 20261203
    Then no recorded history violates an invariant

  Scenario Outline: Histories in which a turn or a program was once lost
    Given a history recorded with seed <seed> and its own faults
    Then no recorded history violates an invariant

    Examples: copies of records that the successor itself stored
      | seed |
      | 2038 |

    Examples: a holder that dropped uncommitted records when it stopped
      | seed  |
      | 10438 |
      | 20340 |

  Scenario Outline: The checker detects a mechanism that is switched off
    Given 2 histories recorded with the <mechanism> switched off from seed 1
    Then some recorded history violates "<line>"

    Examples:
      | mechanism                    | line          |
      | durability of the journal    | history       |
      | truth about timeouts         | at most once  |
      | delivery to the service      | answers       |
      | release of ended programs    | memory        |
      | look at leaving VMs          | leaving       |
      | watch of the operators' text | configuration |
