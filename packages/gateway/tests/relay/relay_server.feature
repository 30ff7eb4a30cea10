Feature: A relay that has no room refuses requests, so that their senders know that nothing was sent

  # Guards against resets of requests that never reached a target.
  Scenario: A request is refused while the memory for bodies is full
    Given a relay with 40 connections
    And 1 relayed requests whose bodies of 32000000 bytes do not end
    Then a relayed request with a body of 2000000 bytes is refused as not sent

  Scenario: A request is refused while most connections are in use
    Given a relay with 40 connections
    And 30 relayed requests whose bodies of 1000 bytes do not end
    Then a relayed request with a body of 10 bytes is refused as not sent

  # Guards against a relay that refuses everything once clients have left requests behind.
  Scenario: Requests that are sent ahead on one connection end when it closes
    Given a relay with 40 connections
    When 3 clients leave that have each sent 10 requests in one packet
    Then nothing is relayed for them any more
