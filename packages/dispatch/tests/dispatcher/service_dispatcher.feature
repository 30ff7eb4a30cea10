Feature: Requests of a service and its targets

  Background:
    Given a service with targets "a, b" of 2 slots, "a" in the daemon's own data centre

  Scenario: A line of turns returns to the target that has read it
    When a turn with prompt "shared:8000,line1:500" is placed
    And it has ended
    And 6 turns with other prompts of 3000 tokens are placed and have ended
    Then a turn with prompt "shared:8000,line1:900" goes to the same target

  Scenario: A line goes on at the target that read it for another daemon
    Then a turn with prompt "shared:8000,line1:900" that continues "shared:8000,line1:800" at "b" goes to target "b"

  Scenario: A full target is not waited for while another is free
    Given target "a" has read prompt "shared:300,line1:100"
    When 2 turns with prompt "shared:300,line1:100" are placed
    Then a turn with prompt "shared:300,line1:100" goes to target "b"

  Scenario: Turns beyond the slots wait, and the most urgent goes first
    When 4 turns with prompt "shared:300,line1:100" are placed
    And turns wait: "late" due in -100 ms, "soon" due in 200 ms, "later" due in 900 ms, "urgent" of priority 0 due in 5000 ms
    Then they are placed in the order "urgent, soon, later, late"

  Scenario: A target that cannot be reached is left out at once and tried again
    When a request to target "a" cannot connect
    Then the next 3 requests go to target "b"
    When 400 ms pass at the dispatcher
    And a request to target "a" is answered
    Then requests go to target "a" again

  Scenario: A target that fails three times in a row is left out
    When 2 requests to target "a" break
    Then requests go to target "a" again
    When 3 requests to target "a" break
    Then the next 3 requests go to target "b"

  Scenario: When every target fails, none is left out
    When a request to target "a" cannot connect
    And a request to target "b" cannot connect
    Then a request is still placed

  Scenario: A slow target gets fewer requests
    When target "a" takes 10 times as long as "b" for 20 requests
    Then the next 3 requests go to target "b"
    When 3500 ms pass at the dispatcher
    Then requests go to target "a" again

  Scenario: A small difference in pace does not move a line away from what was read
    When target "b" has read prompt "shared:8000,line1:3000"
    And target "b" takes 1.3 times as long as "a" for 20 requests
    Then a turn with prompt "shared:8000,line1:3200" goes to target "b"

  Scenario: A request that cannot be served in time is turned away at once
    Given each request takes 1000 ms
    When 4 turns with prompt "shared:300,line1:100" are placed
    And 8 turns wait
    Then a turn with 900 ms left is turned away at once, with a time to come back
    And a turn with 9000 ms left waits

  Scenario: A client that leaves frees its place in the line
    When 4 turns with prompt "shared:300,line1:100" are placed
    And a turn waits and its client leaves
    Then no turn waits

  Scenario: A restarted target starts without load or cache
    Given target "a" has read prompt "shared:8000,line1:500"
    When target "a" starts again
    Then the dispatcher expects nothing of its cache

  Scenario: Many daemons that see equal targets spread over them
    When 40 daemons that see 8 equal targets place one turn each
    Then no target has more than 14 of the turns
