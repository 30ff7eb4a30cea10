Feature: Addresses that are not a peer's
  VM lists lag, so an address may belong to another program by now.

  Scenario Outline: A foreign server fails the exchange and nothing else
    Given a foreign server that answers <answer>
    When a Connect transport sends three heartbeats to the foreign server
    Then each heartbeat to the foreign server fails

    Examples:
      | answer          |
      | HTTP/1.1        |
      | random bytes    |
      | nothing         |
      | an end at once  |
