Feature: A client that reads slowly is not taken for one that does not read

  Scenario Outline: Guards against <failure>
    Given a server with room for <room> connections that answers with 16777216 bytes in one write
    When a client reads <bytes> bytes every 5 s for 40 s
    Then the connection of the client has been ended <times> times

    Examples:
      | failure                                         | room | bytes  | times |
      | the end of a client that reads 100 KB a second  | 10   | 500000 | 0     |
      | a scarce place held by a client that reads none | 2    | 0      | 1     |
