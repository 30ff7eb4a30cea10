Feature: Malformed requests after others on a connection

  Scenario: A response is whole although its caller sends bytes that are no request while it gets it
    Given a caller server whose gateway delays each response by 500 ms
    When a caller sends a call, and bytes that are no request while it waits
    Then the caller gets the response to the call and no byte before it
