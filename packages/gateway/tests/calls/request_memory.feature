Feature: Memory for request bodies

  Scenario Outline: A <framing> body without room is rejected, and the others are read
    Given a memory for request bodies of 100000 bytes
    When clients send 40 <framing> bodies of 10000 bytes at a time, all but the last byte of each
    Then at most 100000 bytes of request bodies are held
    And at least 25 of the requests are rejected with overloaded
    When the last bytes arrive
    Then all other bodies are read whole
    And 10 further bodies of 10000 bytes are read once the calls have ended

    Examples:
      | framing |
      | sized   |
      | chunked |

  Scenario: A body whose announced length has no room is rejected before it is read
    Given a memory for request bodies of 100000 bytes
    When a client announces a body of 100001 bytes and sends nothing of it
    Then at least 1 of the requests are rejected with overloaded
    And at most 0 bytes of request bodies are held
