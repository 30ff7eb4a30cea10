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

  # Guards against calls that run although their connection closes before they are answered.
  Scenario: A call that is read after a response that closes its connection does not run
    Given a server that tells clients to close their connections
    When a client sends a second call while the response to the first is sent
    Then the server has handled 1 call
    And the client gets one whole response

  # Guards against clients that fill the memory behind a stream that closes their connection.
  Scenario: Calls that are sent behind a response that closes its connection count as sent ahead
    Given a server whose responses close their connections and do not end
    When a client sends 200 calls, the others once the response to the first has begun
    Then its connection is reset
