Feature: Reader of server-sent events
  In the table `;` stands for a line feed, `%` for a carriage return and `BOM ` for
  a byte order mark.

  Scenario Outline: Streams are parsed as the standard defines (<text>)
    When the SSE reader gets <text>
    Then the SSE reader gives <events>

    Examples:
      | text                          | events           |
      | data: a;;                   | message=a        |
      | data:a%;%;                | message=a        |
      | data: a%%                   | message=a        |
      | event: end;data: b;;       | end=b            |
      | data: a;data: b;;          | message=a/b      |
      | : hello;;data: a;;        | message=a        |
      | data;;                      | message=         |
      | event: end;;data: a;;     | message=a        |
      | id: 7;retry: 5;data: a;;  | message=a        |
      | data: a;                     | none             |
      | BOM data: a;;             | message=a        |
      | data:  two;;                | message= two     |

  Scenario: Chunk boundaries do not affect the parsed events
    Given any events, line ends and chunk boundaries of an SSE stream
    Then the SSE reader gives the events that were written
