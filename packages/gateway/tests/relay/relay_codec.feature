Feature: Headers with which one entry VM relays a request for another

  Scenario: Headers that a later build adds to the relay do not reach targets
    When a relayed request has headers of a later build
    Then only the headers of the client are left
