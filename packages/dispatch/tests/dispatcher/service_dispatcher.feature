Feature: Dispatch of a service's requests to its targets

  Background:
    Given a service with targets "a, b" of 2 slots each, "a" in the daemon's data centre

  Scenario: A chain of turns returns to the target that has its prompt cached
    When a turn with prompt "shared:8000,line1:500" is dispatched
    And the turn completes
    And 6 turns with other prompts of 3000 tokens are dispatched and complete
    Then a turn with prompt "shared:8000,line1:900" is dispatched to the same target

  Scenario: A chain continues at the target that processed it for another daemon
    Then a turn with prompt "shared:8000,line1:900" that extends "shared:8000,line1:800" at "b" is dispatched to target "b"

  Scenario: A request does not wait for a full target while another has a free slot
    Given target "a" has processed prompt "shared:300,line1:100"
    When 2 turns with prompt "shared:300,line1:100" are dispatched
    Then a turn with prompt "shared:300,line1:100" is dispatched to target "b"

  Scenario: Queued turns are dispatched by priority, then due time, late ones last
    When 4 turns with prompt "shared:300,line1:100" are dispatched
    And turns wait: "late" due in -100 ms, "soon" due in 200 ms, "later" due in 900 ms, "urgent" of priority 0 due in 5000 ms
    Then the queued turns are dispatched in the order "urgent, soon, later, late"

  Scenario: An unreachable target is ejected at once and retried later
    When a request to target "a" cannot connect
    Then the next 3 requests are dispatched to target "b"
    When 400 ms pass on the clock of the dispatcher
    And a request to target "a" is answered
    Then requests are dispatched to target "a" again

  Scenario: A target is ejected after three consecutive failures
    When 2 requests to target "a" fail
    Then requests are dispatched to target "a" again
    When 3 requests to target "a" fail
    Then the next 3 requests are dispatched to target "b"

  Scenario: Ejections are ignored when every target is ejected
    When a request to target "a" cannot connect
    And a request to target "b" cannot connect
    Then a request is still dispatched

  Scenario: A slow target is avoided until its latency samples expire
    When target "a" takes 10 times as long as "b" for 20 requests
    Then the next 3 requests are dispatched to target "b"
    When 3500 ms pass on the clock of the dispatcher
    Then requests are dispatched to target "a" again

  Scenario: A small latency difference does not move a chain away from its cached prompt
    When target "b" has processed prompt "shared:8000,line1:3000"
    And target "b" takes 1.3 times as long as "a" for 20 requests
    Then a turn with prompt "shared:8000,line1:3200" is dispatched to target "b"

  Scenario: A request whose expected wait exceeds its deadline is rejected at once
    Given each request takes 1000 ms
    When 4 turns with prompt "shared:300,line1:100" are dispatched
    And 8 turns are queued
    Then a turn with a deadline in 900 ms is rejected at once, with a retry time
    And a turn with a deadline in 9000 ms is queued

  Scenario: An aborted request leaves the queue
    When 4 turns with prompt "shared:300,line1:100" are dispatched
    And a queued turn is aborted by its client
    Then no turn is queued

  Scenario: A request whose client has left is not queued
    When 4 turns with prompt "shared:300,line1:100" are dispatched
    And a turn is sent by a client that has left
    Then no turn is queued

  Scenario Outline: Queued requests are rejected only when no target is left: <event>
    When 4 turns with prompt "shared:300,line1:100" are dispatched
    And 3 turns are queued
    And the listed targets become "<left>"
    And 1 ms pass on the clock of the dispatcher
    Then <queued> turns are still queued
    And <rejected> queued turns have been rejected for lack of a target

    Examples:
      | event                          | left | queued | rejected |
      | the last target is unlisted    |      | 0      | 3        |
      | one of two targets is unlisted | b    | 3      | 0        |

  Scenario: A restarted target starts without load or cached prompts
    Given target "a" has processed prompt "shared:8000,line1:500"
    When target "a" restarts
    Then the dispatcher assumes no load and an empty cache at target "a"

  Scenario: Daemons that see equal targets spread their requests over them
    When 40 daemons that see 8 equal targets dispatch one turn each
    Then no target receives more than 14 of the turns

  Scenario: A leaving target receives no requests, even with a cached prompt
    Given target "a" has processed prompt "shared:8000,line1:500"
    When target "a" states that it is leaving
    Then a turn with prompt "shared:8000,line1:900" is dispatched to target "b"
    And the next 3 requests are dispatched to target "b"
    And a request with a lease on target "a" may not be sent

  Scenario: A queued request waits for a target that is not leaving
    When 4 turns with prompt "shared:300,line1:100" are dispatched
    And 1 turns are queued
    And target "a" states that it is leaving
    And a turn at target "a" completes
    And 2000 ms pass on the clock of the dispatcher
    Then 1 turns are still queued
    When a turn at target "b" completes
    And 1 ms pass on the clock of the dispatcher
    Then no turn is queued
    And 0 queued turns have been rejected for lack of a target

  Scenario: Leaving targets are used for 1500 ms while there are no others
    When target "a" states that it is leaving
    And target "b" states that it is leaving
    Then a request is still dispatched
    And a request with a lease on target "a" may still be sent
    When 1400 ms pass on the clock of the dispatcher
    Then a request is still dispatched
    When 100 ms pass on the clock of the dispatcher
    Then a turn is rejected at once for lack of a target, with a retry time
    And a request with a lease on target "a" may not be sent

  Scenario: Queued requests are rejected when all targets have been leaving for 1500 ms
    When 4 turns with prompt "shared:300,line1:100" are dispatched
    And 3 turns are queued
    And target "a" states that it is leaving
    And 200 ms pass on the clock of the dispatcher
    And target "b" states that it is leaving
    And 1400 ms pass on the clock of the dispatcher
    Then 3 turns are still queued
    When 101 ms pass on the clock of the dispatcher
    Then no turn is queued
    And 3 queued turns have been rejected for lack of a target

  Scenario: A leaving target that starts again is used again
    When target "a" states that it is leaving
    And target "a" restarts
    Then requests are dispatched to target "a" again
