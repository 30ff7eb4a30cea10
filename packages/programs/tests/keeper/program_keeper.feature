Feature: Keeper of programs

  Scenario: A call sent twice at the same moment runs once
    Given a keeper of programs
    When the same keyed booking is sent to the keeper twice at once
    Then the keeper lets one of them run and both get its answer

  Scenario Outline: A call is refused as not run when <reason>
    Given a keeper of programs
    When the keeper gets a call whose <reason>
    Then the keeper refuses the call as <kind> and not run

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

  Scenario: Sub-agents draw on their parent's budget at the same time
    Given a keeper of programs
    When a program with a budget for two calls has two sub-agents that call at once
    Then the keeper runs the calls of both sub-agents side by side
    And the keeper refuses the parent's next call as budget_exceeded

  Scenario: The cache of an ended program is released until every target has acknowledged
    Given a keeper of programs
    When a program that ran on a target ends at the keeper
    Then the keeper names the target for release, and so does its successor
    And after the acknowledgement neither the keeper nor a successor names it

  Scenario: Ending a program stops its running call and keeps no history
    Given a keeper of programs
    When a program ends at the keeper while its call runs
    Then the keeper's call is told to stop and the history is empty

  Scenario Outline: With the platform down, <call>
    Given a keeper of programs
    When the platform of the keeper goes down
    Then the keeper <result> <call>

    Examples:
      | call                             | result               |
      | a chat                           | runs, not durable    |
      | a booking                        | refuses              |
      | a booking deduplicated by key    | runs, not durable    |

  Scenario: After an outage all turns are committed in order
    Given a keeper of programs
    When three turns of a program run while the platform of the keeper is down
    And the platform of the keeper comes back
    Then the keeper's successor has the three turns, and the keeper had no uncommitted bytes

  Scenario: A holder that dies in an outage leaves its turns to the successor
    Given a keeper of programs
    When three turns of a program run while the platform of the keeper is down
    And the holder dies and the platform of the keeper comes back
    Then the keeper's successor has the three turns

  Scenario: A keyed call names the same program everywhere
    Given two teams, a key and partitions in any order
    Then every order gives the same program of the key, and each team its own
