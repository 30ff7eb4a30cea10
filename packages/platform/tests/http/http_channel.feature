Feature: HTTP channel

  Scenario: A slow reader holds the sender back
    Given an HTTP server that streams 40 megabytes
    When the HTTP channel's reader begins once the server can send no more
    Then the HTTP channel's reader gets all 40 megabytes

  Scenario: An answer over the bound is not read whole
    Given an HTTP server that streams 40 megabytes
    When the HTTP channel reads the answer whole
    Then the HTTP channel tells that the answer was cut

  Scenario: A destroyed channel cuts what is in flight
    Given an HTTP server that streams 40 megabytes
    When the HTTP channel is destroyed while its reader waits
    Then the HTTP channel's reader hears that the stream was cut

  Scenario: A request given up before it is sent was never sent
    Given an HTTP server that streams 40 megabytes
    When a request on the HTTP channel is given up before it starts
    Then the HTTP channel tells that the request was aborted and never sent
