Feature: A response before the request has been read, or with a status that is none

  # Guards against part of a response that is taken for the whole while the upload is written.
  Scenario Outline: An early response to uploads of <bytes> bytes that a reset cuts has failed (<how> <connection>)
    Given an HTTP server that responds to uploads without a length before it reads them and resets the connection
    When the HTTP channel <how> uploads of <bytes> bytes <connection>
    Then no upload has a whole response

    Examples:
      | how   | bytes   | connection                                 |
      | sends | 17000   |                                            |
      | sends | 600000  |                                            |
      | sends | 8000000 |                                            |
      | sends | 17000   | on connections that have served a request |
      | sends | 600000  | on connections that have served a request |
      | sends | 8000000 | on connections that have served a request |
      | opens | 17000   |                                            |
      | opens | 600000  |                                            |
      | opens | 8000000 |                                            |
      | opens | 600000  | on connections that have served a request |

  # Guards against a status that is none which ends the process or is taken for an answer.
  Scenario Outline: A response with the status <status> has failed (<how>)
    Given an HTTP server whose responses have the status "<status>"
    When the HTTP channel <how> a request to it
    Then the request has failed

    Examples:
      | status | how   |
      | 000    | sends |
      | 001    | sends |
      | 0      | sends |
      | 099    | sends |
      | 20     | sends |
      | 1000   | sends |
      | abc    | sends |
      | -20    | sends |
      | 000    | opens |
      | 099    | opens |
      | 1000   | opens |
