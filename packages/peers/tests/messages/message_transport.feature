Feature: Requests with one reply between daemons

  Scenario: Concurrent requests get their own replies
    Given a message peer that answers in reverse order of arrival
    When 50 message requests are sent at once
    Then each message request has its own reply

  Scenario Outline: A request to a peer that <does> fails with <kind>
    Given a message peer that <does>
    When a message request is sent with a time limit of 200 ms
    Then the message request fails with <kind>

    Examples:
      | does                     | kind          |
      | refuses                  | limit_reached |
      | never answers            | peer_lost     |
      | is not there             | peer_lost     |
      | closes the connection    | peer_lost     |
      | sends arbitrary bytes    | peer_lost     |

  Scenario: A connection that never answers is replaced
    Given a message peer whose first connection never answers
    When a message request is sent with a time limit of 200 ms
    And another message request is sent with a time limit of 1000 ms
    Then the other message request has its reply

  Scenario: A reply of several megabytes is not truncated
    Given a message peer that replies with 5000000 bytes
    When a message request is sent with a time limit of 5000 ms
    Then the reply of the message peer has 5000000 bytes

  Scenario: Requests reach a peer although the first attempts to connect are lost
    Given a message peer to which the first 2 connection attempts are lost
    When 3 message requests are sent at once, with a time limit of 900 ms
    Then each message request has its own reply
    And 3 connections were attempted

  Scenario: A request whose attempts to connect are all lost fails in its time
    Given a message peer to which the first 1000 connection attempts are lost
    When a message request is sent with a time limit of 400 ms
    Then the message request fails with peer_lost
    And no connection is attempted in the next 300 ms

  Scenario: A request that is too large fails alone
    Given a message peer that answers after 100 ms
    When a message request of 33554432 bytes and another one are sent at once
    Then the message request fails with invalid_request
    And the other message request has its reply

  Scenario: A reply that is too large fails alone
    Given a message peer whose first reply has 33554432 bytes
    When 2 message requests are sent at once and settle
    Then the message request fails with invalid_request
    And the other message request has its reply

  # Guards against requests whose own failure is taken for the silence of the peer.
  Scenario: A request that cannot be encoded fails alone
    Given a message peer that answers after 100 ms
    When a message request that cannot be encoded and another one are sent at once
    Then the message request fails with invalid_request
    And the other message request has its reply

  Scenario: A reply that cannot be encoded fails alone
    Given a message peer whose first reply cannot be encoded
    When 2 message requests are sent at once and settle
    Then the message request fails with invalid_request
    And the other message request has its reply

  Scenario: A reply is waited for while it arrives over a slow link
    Given a message peer whose replies of 2000000 bytes take 1200 ms
    When a message request is sent with a time limit of 400 ms
    Then the reply of the message peer has 2000000 bytes

  Scenario: A reply that stops to arrive is not waited for
    Given a message peer whose replies of 2000000 bytes stop after 100000
    When a message request is sent with a time limit of 400 ms
    Then the message request fails with peer_lost

  # Guards against peers that are taken for silent since the own process did not run.
  Scenario: A reply that arrives while the event loop is blocked is not lost
    Given a message peer after whose reply the event loop is blocked for 400 ms
    When a message request is sent with a time limit of 200 ms
    Then the message request has its reply
