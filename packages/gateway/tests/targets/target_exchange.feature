Feature: One request to a target

  Scenario: A target that does not take a connection is given up soon, and has not been sent anything
    When a request goes to a target that never takes a connection
    Then within 500 ms it is unreachable, and nothing was sent
