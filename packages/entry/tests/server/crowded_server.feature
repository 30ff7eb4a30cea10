Feature: Callers reach a server whose connections are all in use

  Scenario Outline: A new connection takes the place of one with <held> over <protocol>
    Given a caller server over <protocol> with room for 32 connections
    When 40 clients open connections with <held>
    And <seconds> s pass
    Then a new caller of the crowded server is answered
    And at most 32 connections to the crowded server are open

    Examples:
      | protocol | held               | seconds |
      | HTTP     | nothing sent       | 1       |
      | HTTP     | an unfinished body | 10      |
      | TLS      | nothing sent       | 1       |
      | TLS      | an unfinished body | 10      |

  Scenario: A connection whose body arrives is kept for a while
    Given a caller server over HTTP with room for 32 connections
    When 40 clients open connections with an unfinished body
    And 9 s pass
    Then a new caller of the crowded server is refused

  Scenario: A call of many parts is answered over TLS
    Given a caller server over TLS with room for 32 connections
    Then a chat call of 60000 bytes to the crowded server gets 200

  Scenario: A body without room is refused until one that arrives slowly makes room
    Given a caller server with 1 MB
    When a client of the crowded server announces a body of 60000 bytes
    Then a chat call of 60000 bytes to the crowded server gets 503
    When 10 s pass
    Then a chat call of 60000 bytes to the crowded server gets 200
    And the client that announced a body gets 408
