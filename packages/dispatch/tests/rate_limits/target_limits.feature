Feature: Knowledge of the rate limits of targets

  Background:
    Given a target that has stated a limit of 2 requests a second

  Scenario: A response to an earlier request does not end a limit
    When a response without a limit to a request that was sent 50 ms before arrives
    Then the known limit of the target is 2 requests a second

  Scenario: A response to a later request ends a limit
    When 100 ms pass for the limits
    And a response without a limit to a request that was sent 50 ms before arrives
    Then the target has no known limit

  Scenario: A response without a signature does not end a limit
    When 100 ms pass for the limits
    And a response without a limit and without a signature arrives
    Then the known limit of the target is 2 requests a second

  Scenario: A limit holds over a moment in which the target is not listed
    When 5000 ms pass for the limits
    And the target is not listed for a moment
    Then the known limit of the target is 2 requests a second

  Scenario: The limit of a target that is gone for good is forgotten
    When 70000 ms pass for the limits
    And the target is not listed for a moment
    Then the target has no known limit

  Scenario Outline: Statements that other daemons report replace older ones only
    When 1000 ms pass for the limits
    And another daemon reports a limit of 5 requests a second that was stated <age> ms ago
    Then the known limit of the target is <limit> requests a second

    Examples:
      | age  | limit |
      | 500  | 5     |
      | 1500 | 2     |

  Scenario: A later response that does not state it does not end a target's leaving
    When a response states that the target is leaving
    And 100 ms pass for the limits
    And a response without a limit to a request that was sent 50 ms before arrives
    Then the target is known to be leaving
    And the target has no known limit

  Scenario: A response without a signature and without a limit states that a target is leaving
    When a response without a signature states that the target is leaving
    Then the target is known to be leaving
    And the known limit of the target is 2 requests a second

  Scenario: Another start of the target is not leaving
    When a response states that the target is leaving
    Then the next start of the target is not known to be leaving

  Scenario: A target is known to be leaving when it is listed again long after its statement
    When a response states that the target is leaving
    And 300000 ms pass for the limits
    And the target is not listed for a moment
    Then the target is known to be leaving

  Scenario: A leaving target that is gone for good is forgotten
    When a response states that the target is leaving
    And the target is no longer listed
    And 700000 ms pass for the limits
    And the target is no longer listed
    Then the target is not known to be leaving

  Scenario: A report that a target is leaving does not end its limit
    When 1000 ms pass for the limits
    And another daemon reports that the target is leaving
    Then the target is known to be leaving
    And the known limit of the target is 2 requests a second

  Scenario: A report that a target is leaving is kept without a limit
    When 70000 ms pass for the limits
    And the target is not listed for a moment
    And another daemon reports that the target is leaving
    Then the target is known to be leaving
    And the target has no known limit

  Scenario: A report of a limit does not end a target's leaving
    When a response states that the target is leaving
    And 1000 ms pass for the limits
    And another daemon reports a limit of 5 requests a second that was stated 500 ms ago
    Then the target is known to be leaving
    And the known limit of the target is 5 requests a second

  Scenario: A statement is passed on after another daemon has reported a limit
    When a response states that the target is leaving
    And 1000 ms pass for the limits
    And another daemon reports a limit of 5 requests a second that was stated 500 ms ago
    Then the own changes contain that the target is leaving
