Feature: Response that another entry VM relays

  Scenario Outline: A relayed response with framing "<framing>" whose relay <end> is <proof>
    When the relay of a response with framing "<framing>" <end>
    Then the body of the response is <proof>

    Examples:
      | framing | end                                 | proof     |
      | close   | ends it                             | unknown   |
      | close   | closes the connection before it ends | truncated |
      | close   | resets the connection before it ends | truncated |
      | chunked | ends it                             | complete  |
      | chunked | closes the connection before it ends | truncated |
      | chunked | resets the connection before it ends | truncated |
