Feature: Server-sent event parsing

  Scenario: Chunk boundaries do not change the parsed events
    Then an event collector parses the same events from any split of a stream

  Scenario Outline: <case>
    When an event collector reads "<bytes>"
    Then it has parsed <events> events with data "<data>"
    And the stream <ends> between two events

    Examples:
      | case                       | bytes                                   | events | data     | ends        |
      | one event                  | id: 1\ndata: a\n\n                      | 1      | a\n      | ends        |
      | two events                 | data: a\n\ndata: b\n\n                  | 2      | a\nb\n   | ends        |
      | several data lines         | data: a\ndata: b\n\n                    | 1      | a\nb\n   | ends        |
      | CRLF line ends             | data: a\r\n\r\n                         | 1      | a\n      | ends        |
      | an unknown field           | x-weight: 2\nid: 1\ndata: a\n\n         | 1      | a\n      | ends        |
      | a comment                  | : ping\n\ndata: a\n\n                   | 1      | a\n      | ends        |
      | an incomplete event        | data: a\n\ndata: b\n                    | 1      | a\n      | does not end |
      | an incomplete line         | data: a\n\nda                           | 1      | a\n      | does not end |
      | only the id of an event    | data: a\n\nid: 2\n                      | 1      | a\n      | does not end |
      | a comment without its end  | data: a\n\n: ping\n                     | 1      | a\n      | does not end |
      | a field without its end    | x-weight: 2\n                           | 0      |          | does not end |
