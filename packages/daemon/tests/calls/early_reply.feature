Feature: Responses of plain services that are none
  A response that comes before the request has been read and is reset, or whose
  status is no status, reaches no caller.

  # Guards against part of a response that a caller gets as the whole.
  Scenario Outline: An early response to an upload of <bytes> bytes that a reset cuts <when> reaches no caller
    Given a daemon that serves a plain service of one target
    When a caller sends a booking of <bytes> bytes that its target responds to without a length before it resets the connection <when>
    Then each caller gets 502 "target_failed"

    Examples:
      | bytes  | when        |
      | 17000  | at once     |
      | 17000  | after 3 ms  |
      | 17000  | after 30 ms |
      | 600000 | at once     |
      | 600000 | after 3 ms  |
      | 600000 | after 30 ms |

  Scenario: A response whose status is none reaches no caller
    Given a daemon that serves a plain service of one target
    When callers send bookings to which its target responds with the statuses "000, 099, 20, 1000"
    Then each caller gets 502 "target_failed"
