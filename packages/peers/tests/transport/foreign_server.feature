Feature: Peer addresses that another program listens on
  VM lists lag, so another program may already listen at a peer's address.

  Scenario Outline: A foreign server fails the exchange but not the process
    Given a foreign server that answers <answer>
    When a Connect transport sends three heartbeats to the foreign server
    Then each heartbeat to the foreign server fails

    Examples:
      | answer           |
      | HTTP/1.1         |
      | random bytes     |
      | a protocol error |
      | nothing          |
      | an end at once   |

  # An 'error' event of the session, after the transport's listener was gone, ended the daemon.
  Scenario: A transport that stops beside a protocol error does not fail the process
    Given a foreign server that answers a protocol error
    When a Connect transport stops as soon as its heartbeat to the foreign server has failed
    Then each heartbeat to the foreign server fails
