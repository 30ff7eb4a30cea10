Feature: Closing the connections of clients
  A process that did not run for a moment finds that an idle time is over, or
  that it stops, before it reads the requests that have arrived meanwhile.

  Scenario Outline: A request that arrived before its idle connection is closed is answered
    Given a connection whose first request was answered
    When a second request arrives, and the process does not run for 100 ms while <event>
    Then both requests are answered

    Examples:
      | event                    |
      | its idle time ends       |
      | idle connections close   |

  Scenario Outline: An idle connection is closed
    Given a connection whose first request was answered
    When no request arrives, and the process does not run for 100 ms while <event>
    Then the first request is answered and the connection is closed

    Examples:
      | event                    |
      | its idle time ends       |
      | idle connections close   |

  Scenario: A connection is not idle while the body of an answered request is due
    Given a connection whose first request was answered before its body arrived
    When idle connections close, and then the body and a second request arrive
    Then both requests are answered

  # Guards against processes that wait at their stop for connections that have closed.
  Scenario: A connection that has closed is forgotten although a request of it is rejected later
    Given a connection whose first request was answered
    When it closes, and it is asked later whether its request was the last that was read
    Then no connection is open

  # Guards against a process that runs out of memory while clients send requests ahead.
  Scenario: Requests that were answered are not kept while others always wait behind them
    Given a connection whose first request was answered
    When 20 requests arrive on it, each before the one before is answered
    Then only requests that have not been answered are kept
