Feature: Request to a target

  Scenario: A connect timeout fails the request as unreachable and not sent
    When a request is sent to a target that never accepts the connection
    Then within 500 ms it fails as unreachable and not sent

  Scenario: A connection that opens while the process does not run is no connect timeout
    When a request is sent to a target and the event loop is blocked for 200 ms
    Then the request is sent

  Scenario: A probe that connects while the process does not run has connected
    When a target is probed and the event loop is blocked for 200 ms
    Then the probe has connected
