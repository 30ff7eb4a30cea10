Feature: Calls of clients

  Scenario: An unexpected error in the handling of a call ends its connection only
    Given a server whose codec fails at call "bad"
    When a client sends the calls "bad, good, bad, good"
    Then the calls end with "reset, 503, reset, 503"
    And the failure of 2 calls is logged
    And no call is in flight
