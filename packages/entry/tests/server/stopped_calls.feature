Feature: Calls in flight when the drain time ends
  A request that has been read ends with a response or an error, also when the
  daemon stops before its call has ended.

  Scenario Outline: A <request> in flight gets an error when the drain time ends
    Given a caller server whose gateway never answers
    When the drain time ends during a "<request>"
    Then the caller receives error 503 "draining" with outcome "unknown"

    Examples:
      | request                     |
      | call that is not accepted   |
      | call without a token        |
      | call that is not cancelled  |
      | stream that is not accepted |
      | call of a plain service     |
      | request for a program       |

  Scenario: A stream in flight ends with an error event when the drain time ends
    Given a caller server whose gateway never answers
    When the drain time ends during a "stream with a token"
    Then the caller's stream ends with an error of kind "draining" and no done event

  Scenario: A stream that is not cancelled is broken off when the drain time ends
    Given a caller server whose gateway never answers
    When the drain time ends during a "stream that is not cancelled"
    Then the caller's stream is broken off

  Scenario: A connection that is kept alive does not delay a stop
    Given a caller server whose gateway delays the last event until shutdown
    When the caller server is stopped during a stream on a connection that is kept alive
    Then the caller server has stopped before its drain time

  Scenario: A response that its caller has not read yet is whole although the daemon stops
    Given a caller server whose gateway answers with 9 MB of text
    When the caller server is stopped before the caller reads the response
    Then the caller gets the whole text
