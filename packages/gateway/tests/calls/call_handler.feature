Feature: Calls of clients

  Scenario: An unexpected error in the handling of a call ends its connection only
    Given a server whose codec fails at call "bad"
    When a client sends the calls "bad, good, bad, good"
    Then the calls end with "reset, 503, reset, 503"
    And the failure of 2 calls is logged
    And no call is in flight

  Scenario: Pipelined calls are all answered while the daemon drains
    Given a server whose codec fails at call "bad"
    And the server drains
    When a client sends 3 calls in one packet
    Then the client gets 3 responses with status 503, of which the last closes the connection
