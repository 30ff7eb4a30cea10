Feature: Program manager

  Scenario: A call sent twice concurrently runs once
    Given a program manager
    When the same keyed booking is sent to the program manager twice at once
    Then the program manager runs one booking and both senders receive its answer

  Scenario Outline: A call is rejected with outcome not_run when its <reason>
    Given a program manager
    When the keeper gets a call whose <reason>
    Then the program manager rejects the call with <kind> and outcome not_run

    Examples:
      | reason                           | kind                 |
      | program does not exist           | unknown_program      |
      | program is another team's        | unknown_program      |
      | program has ended                | program_ended        |
      | key was used for another request | idempotency_mismatch |
      | worst case exceeds the budget    | budget_exceeded      |
      | program has made all its calls   | budget_exceeded      |
      | program's wall time is over      | budget_exceeded      |
      | program repeats itself           | budget_exceeded      |

  Scenario: Concurrent sub-agents use their parent's budget
    Given a program manager
    When a program with a budget for two calls has two sub-agents that call at once
    Then the program manager runs the calls of both sub-agents concurrently
    And the program manager rejects the parent's next call with budget_exceeded

  Scenario: The release of an ended program's cache is pending until each target acknowledges it
    Given a program manager
    When a program that ran on a target ends at the program manager
    Then the cache release is pending at the program manager and at its successor
    And after the acknowledgement it is pending at neither of them

  Scenario: Ending a program aborts its running call and deletes its history
    Given a program manager
    When a program ends at the program manager while its call runs
    Then the program manager aborts the call and the history is empty

  Scenario Outline: With the platform down, the program manager <result> <call>
    Given a program manager
    When the program manager's platform goes down
    Then the keeper <result> <call>

    Examples:
      | call                             | result               |
      | a chat                           | runs, not durable    |
      | a booking                        | refuses              |
      | a booking deduplicated by key    | runs, not durable    |

  Scenario: After an outage all turns are committed in order
    Given a program manager
    When three turns of a program run while the program manager's platform is down
    And the program manager's platform recovers
    Then the keeper's successor has the three turns, and the keeper had no uncommitted bytes

  Scenario: A successor recovers the turns of a holder that dies in an outage
    Given a program manager
    When three turns of a program run while the program manager's platform is down
    And the holder dies and the program manager's platform recovers
    Then the keeper's successor has the three turns

  Scenario: All daemons derive the same program from an idempotency key
    Given two teams, a key and partitions in any order
    Then the key gives the same program in every order, and a different one for each team
