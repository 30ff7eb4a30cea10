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
