Feature: HTTP API for callers

  Scenario: A chat completion has the format of OpenAI's API
    Given a caller server
    When a caller requests a chat completion
    Then the caller receives the complete completion and its program id

  Scenario: A stream ends with a done event after the finished event
    Given a caller server
    When a caller requests a streamed chat completion
    Then the caller's stream has tokens 0 to 3, a finish reason and a done event

  Scenario: A stream resumes after the last received event
    Given a caller server
    When a caller resumes the stream of key "berth-7" after event 1
    Then the gateway received the call with offset 2 and idempotency key "berth-7"
    And the caller's stream has tokens 2 to 3, a finish reason and a done event

  Scenario Outline: Error kind <kind> maps to its status, outcome and retry delay
    Given a caller server whose gateway fails with "<kind>"
    When a caller requests a chat completion
    Then the caller receives error <status> "<kind>" with outcome "<outcome>"
    And the error includes a retry delay: "<retry>"

    Examples:
      | kind                     | status | outcome | retry |
      | invalid_request          | 400    | not_run | no    |
      | idempotency_key_required | 400    | not_run | no    |
      | unauthenticated          | 401    | not_run | no    |
      | team_not_approved        | 403    | not_run | no    |
      | service_not_allowed      | 403    | not_run | no    |
      | budget_exceeded          | 403    | not_run | no    |
      | unknown_service          | 404    | not_run | no    |
      | unknown_model            | 404    | not_run | no    |
      | unknown_program          | 404    | not_run | no    |
      | program_ended            | 409    | not_run | no    |
      | too_large                | 413    | not_run | no    |
      | idempotency_mismatch     | 422    | not_run | no    |
      | quarantined              | 422    | not_run | no    |
      | limit_reached            | 429    | not_run | yes   |
      | cancelled                | 499    | unknown | no    |
      | internal                 | 500    | unknown | no    |
      | target_failed            | 502    | unknown | no    |
      | outcome_unknown          | 502    | unknown | no    |
      | stream_truncated         | 502    | unknown | no    |
      | dependency_unavailable   | 503    | not_run | yes   |
      | no_target                | 503    | not_run | yes   |
      | overloaded               | 503    | not_run | yes   |
      | draining                 | 503    | not_run | yes   |
      | platform_unavailable     | 503    | not_run | yes   |
      | partition_unavailable    | 503    | not_run | yes   |
      | deadline_exceeded        | 504    | not_run | yes   |
      | target_timeout           | 504    | unknown | no    |

  Scenario Outline: A stream that fails midway has no done event: <fault>
    Given a caller server whose gateway streams with the fault "<fault>"
    When a caller requests a streamed chat completion
    Then the caller's stream ends with an error of kind "<kind>" and no done event

    Examples:
      | fault             | kind             |
      | target_failed     | target_failed    |
      | no finished event | stream_truncated |
      | a missing token   | stream_truncated |
      | a plain answer    | stream_truncated |

  Scenario Outline: An invalid request is rejected before it reaches the gateway: <fault>
    Given a caller server
    When a caller sends a request with "<fault>"
    Then the caller receives error <status> "<kind>" with outcome "not_run"
    And the gateway received no request

    Examples:
      | fault                                 | status | kind                     |
      | no API key                            | 401    | unauthenticated          |
      | another authentication scheme         | 401    | unauthenticated          |
      | an unknown API key                    | 401    | unauthenticated          |
      | a key's hash as the API key           | 401    | unauthenticated          |
      | an unapproved team                    | 403    | team_not_approved        |
      | an engine as a plain service          | 400    | invalid_request          |
      | an unknown model                      | 404    | unknown_model            |
      | another service's model               | 404    | unknown_model            |
      | an unknown service                    | 404    | unknown_service          |
      | a body not JSON                       | 400    | invalid_request          |
      | no messages                           | 400    | invalid_request          |
      | several choices                       | 400    | invalid_request          |
      | a body too large                      | 413    | too_large                |
      | a body not UTF-8                      | 400    | invalid_request          |
      | headers too large                     | 413    | too_large                |
      | an empty Idempotency-Key              | 400    | invalid_request          |
      | Last-Event-ID without Idempotency-Key | 400    | invalid_request          |
      | a malformed program id                | 404    | unknown_program          |
      | a malformed timeout                   | 400    | invalid_request          |
      | an unknown path                       | 404    | unknown_path             |
      | a wrong method                        | 405    | method_not_allowed       |
      | a booking without idempotency key     | 400    | idempotency_key_required |
      | a budget above the team's             | 400    | invalid_request          |

  Scenario: A model can be qualified by a service name
    Given a caller server
    When a caller requests a chat completion from model "plan-models/berth-planner-70b"
    Then the gateway received a call for model "berth-planner-70b" of service "plan-models"

  Scenario: A team can call a dependency that its approval includes
    Given a caller server
    When team "planners" books a crane with key "berth-7"
    Then the gateway received "POST" "/book?crane=4" for service "quay-ops" without the caller's API key
    And the caller receives the service's own response

  Scenario: A service's response without a length is sent without a length
    Given a caller server whose services respond without a length
    When team "planners" books a crane with key "berth-7"
    Then the caller's response ends with its connection only

  Scenario: Programs can be opened, read and ended
    Given a caller server
    Then programs are opened with budgets, shown, read and ended over HTTP

  Scenario: A call is cancelled when its caller disconnects
    Given a caller server whose gateway never finishes the stream
    When a caller disconnects after the first token
    Then the gateway's signal is aborted

  # Guards against calls that run on for callers that have left.
  Scenario Outline: A <request> that waits for an earlier one is cancelled when its caller disconnects while the gateway <answer>
    Given a caller server whose gateway <answer>
    When a caller disconnects that has sent a stream and a <request> in one packet
    Then no request is in flight

    Examples:
      | request | answer                     |
      | call    | never finishes the stream  |
      | stream  | never finishes the stream  |
      | stream  | streams 64 MB              |

  Scenario: A caller that does not read is throttled, then disconnected
    Given a caller server whose gateway streams 64 MB
    When a caller does not read its stream
    Then only a part of the gateway's stream has been read
    And a caller that still reads no data is disconnected after 60 s

  Scenario: A graceful shutdown completes the streams in flight
    Given a caller server whose gateway delays the last event until shutdown
    When the caller server is stopped during a stream
    Then the caller's stream has tokens 0 to 3, a finish reason and a done event
    And the caller server refuses connections

  Scenario: Health, readiness and metrics
    Given a caller server
    Then health is ok, readiness follows the gateway and metrics are exposed

  Scenario: Log lines contain no key and no content
    Given a caller server
    When a caller requests a chat completion
    And a caller sends a request with "an unknown API key"
    Then each log line has a request id and none contains a key or content

  Scenario: Random headers and bodies cause no unlisted error
    Given a caller server
    Then random headers and bodies are served or rejected with a listed error kind

  Scenario: The OpenAPI file matches the routes of the server
    Given a caller server
    Then the OpenAPI file lists exactly the paths and methods of the caller server

  Scenario: The API documentation lists every error kind
    Then the API documentation lists each error kind with its status, outcome and retry
