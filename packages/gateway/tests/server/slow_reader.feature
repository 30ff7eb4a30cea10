Feature: A client that reads slowly is not taken for one that does not read

  Scenario Outline: Guards against <failure>
    Given a server that answers with 16777216 bytes in one write
    When a client reads <bytes> bytes every 5 s for 40 s
    Then the connection of the client has been ended <times> times

    Examples:
      | failure                                        | bytes  | times |
      | the end of a client that reads 100 KB a second | 500000 | 0     |
      | memory held for a client that does not read    | 0      | 1     |
