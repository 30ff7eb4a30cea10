Feature: Events of a stream

  Scenario: Events are the same however the stream is cut into chunks
    Then an event collector gives the same events for any split of a stream

  Scenario Outline: <case>
    When an event collector reads "<bytes>"
    Then it has seen <events> events with data "<data>"
    And the stream <ends> between two events

    Examples:
      | case                       | bytes                                   | events | data     | ends        |
      | one event                  | id: 1\ndata: a\n\n                      | 1      | a\n      | ends        |
      | two events                 | data: a\n\ndata: b\n\n                  | 2      | a\nb\n   | ends        |
      | several lines of data      | data: a\ndata: b\n\n                    | 1      | a\nb\n   | ends        |
      | carriage returns           | data: a\r\n\r\n                         | 1      | a\n      | ends        |
      | a line of its own first    | x-weight: 2\nid: 1\ndata: a\n\n         | 1      | a\n      | ends        |
      | a comment                  | : ping\n\ndata: a\n\n                   | 1      | a\n      | ends        |
      | an event that is cut off   | data: a\n\ndata: b\n                    | 1      | a\n      | does not end |
      | a line that is cut off     | data: a\n\nda                           | 1      | a\n      | does not end |
