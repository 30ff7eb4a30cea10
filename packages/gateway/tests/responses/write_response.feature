Feature: Responses to requests whose rest is not needed

  Scenario: The connection of a client that never ends its rejected request closes
    Given a server that rejects each request before its body has arrived
    When a client sends its body without end
    Then the client gets the whole error within 500 ms
    And its connection closes after 900 to 1900 ms
