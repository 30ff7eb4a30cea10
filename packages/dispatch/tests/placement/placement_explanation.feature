Feature: A placement is explained without sending the request

  Guards against an explanation that differs from the decision, and against one that
  changes the state that decides.

  Scenario Outline: Names the target that a request is then sent to while <state>
    Given a service with targets "a, b, c" of 2 slots each, "<near>" in the daemon's data centre
    And target "b" has processed prompt "shared:9000,chain1:3000"
    And <state>
    When a turn with prompt "<prompt>" is explained
    Then the state of the dispatcher is the same as before
    And the explanation names the target that the turn is then sent to, which is "<target>"

    Examples:
      | state                                                   | near | prompt                  | target |
      | 0 turns with prompt "shared:9000,chain1:3000" are dispatched | a    | other:100               | a      |
      | 0 turns with prompt "shared:9000,chain1:3000" are dispatched | a    | shared:9000,chain1:3000 | b      |
      | 2 turns with prompt "shared:9000,chain1:3000" are dispatched | c    | shared:9000,chain1:3000 | c      |
      | target "b" states that it is leaving                    | c    | shared:9000,chain1:3000 | c      |
      | target "a" has refused a connection                     | a    | shared:9000,chain1:3000 | b      |

  Scenario Outline: Tells that a target is not used because it is <reason>
    Given a service with targets "a, b" of 2 slots each, "a" in the daemon's data centre
    And <state>
    When a turn without target "<excluded>" is explained
    Then target "a" is not used for the reason "<reason>"
    And the explained turn would be "sent" to "b"

    Examples:
      | reason      | excluded | state                                                  |
      | excluded    | a        | target "b" has processed prompt "shared:10"            |
      | leaving     | none     | target "a" states that it is leaving                   |
      | ejected     | none     | target "a" has refused a connection                    |
      | window_full | none     | 2 turns with prompt "shared:9000" are sent to target "a" |

  Scenario: A turn that no window has room for waits
    Given a service with targets "a" of 2 slots each, "a" in the daemon's data centre
    And 2 turns with prompt "shared:9000" are sent to target "a"
    When a turn without target "none" is explained
    Then the explained turn would be "waits_for_window" to "nothing"

  Scenario: A turn without a target would be refused
    Given a service with targets "a" of 2 slots each, "a" in the daemon's data centre
    When a turn without target "a" is explained
    Then the explained turn would be "no_target" to "nothing"

  Scenario: A target whose every peer fails as well is used although it is ejected
    Given a service with targets "a" of 2 slots each, "a" in the daemon's data centre
    And target "a" has refused a connection
    When a turn without target "none" is explained
    Then the explained turn would be "sent" to "a"
    And target "a" is used although it is ejected

  Scenario: Explaining a turn to a target with a rate limit asks for no permit
    Given a service with targets "a" of 2 slots each, "a" in the daemon's data centre
    And target "a" states a limit of 10 requests a second
    When a turn with prompt "shared:9000" is explained
    Then the state of the dispatcher is the same as before
    And the explained turn would be "waits_for_rate_limit" to "a"

  Scenario: Learned costs and reports decide about few targets
    Given a fleet of 57 daemons, and targets "a, b, c" with 9, 2, 7 requests of others, reported 150 ms ago
    When a turn with prompt "shared:9000" is explained
    Then the state of the dispatcher is the same as before
    And learned costs decide, without a draw
    And target "a" has 9 requests of others, reported 150 ms ago
    And the explanation names the target that the turn is then sent to, which is "b"

  Scenario: Reports that are too old do not decide
    Given a fleet of 57 daemons, and targets "a, b, c" with 9, 2, 7 requests of others, reported 2001 ms ago
    When a turn with prompt "shared:9000" is explained
    Then the own requests decide
    And no target has a report

  Scenario: Of many targets some are drawn, with the probabilities that are told
    Given a fleet of 57 daemons, and targets "a, b, c, d, e, f, g" with 1, 2, 3, 4, 5, 6, 7 requests of others, reported 150 ms ago
    When a turn with prompt "shared:9000" is explained
    Then the state of the dispatcher is the same as before
    And the probabilities of the targets match 400 turns that are sent
