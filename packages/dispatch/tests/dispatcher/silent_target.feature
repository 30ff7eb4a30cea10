Feature: Dispatch to targets that get requests and send nothing

  Background:
    Given a service with targets "a, b" of 8 slots each, "a" in the daemon's data centre

  Scenario: A target that is silent for a second is avoided, not ejected, and used once it responds
    When 4 requests at a time to target "a" get no response within 900 ms
    Then the next 3 requests are dispatched to target "b"
    And no target has been ejected
    When a request to target "a" is answered
    Then requests are dispatched to target "a" again

  Scenario: A target that is still silent after two seconds is ejected
    When 4 requests at a time to target "a" get no response within 900 ms
    And 300 ms pass on the clock of the dispatcher
    And 1 requests at a time to target "a" get no response within 700 ms
    Then no target has been ejected
    When 300 ms pass on the clock of the dispatcher
    And 1 requests at a time to target "a" get no response within 400 ms
    Then target "a" has been ejected 1 times

  Scenario: Requests that were sent before a response count no silence before it
    When 1 requests at a time to target "a" get no response within 1900 ms
    And a request to target "a" is answered
    And 3 requests at a time to target "a" get no response within 900 ms
    Then no target has been ejected

  Scenario: A target that breaks after it was silent is ejected
    When 2 requests at a time to target "a" get no response within 400 ms
    And 1 requests to target "a" fail
    Then target "a" has been ejected 1 times

  Scenario: A target that hangs gets few requests
    Given target "a" responds to nothing while requests come for 10000 ms
    Then target "a" has received at most 12 requests
