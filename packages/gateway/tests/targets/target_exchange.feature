Feature: Request to a target

  Scenario: A connect timeout fails the request as unreachable and not sent
    When a request is sent to a target that never accepts the connection
    Then within 500 ms it fails as unreachable and not sent
