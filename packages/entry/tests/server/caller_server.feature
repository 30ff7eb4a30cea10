Feature: Callers' HTTP

  Scenario: A chat completion has OpenAI's shape
    Given a callers' server
    When a caller asks for a chat completion
    Then the caller gets the whole completion and its program

  Scenario: A stream ends only after the finished event
    Given a callers' server
    When a caller asks for a streamed chat completion
    Then the caller's stream has tokens 0 to 3, a finish reason and its end

  Scenario: A stream is resumed after the last event
    Given a callers' server
    When a caller resumes the stream of key "berth-7" after event 1
    Then the gateway was asked from token 2 with key "berth-7"
    And the caller's stream has tokens 2 to 3, a finish reason and its end

  Scenario Outline: A failure of kind <kind> gets its answer
    Given a callers' server whose gateway fails with "<kind>"
    When a caller asks for a chat completion
    Then the caller is refused with <status> "<kind>" and outcome "<outcome>"
    And the refusal says when to come back: "<retry>"

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

  Scenario Outline: A stream that fails midway never ends cleanly: <fault>
    Given a callers' server whose gateway streams with "<fault>"
    When a caller asks for a streamed chat completion
    Then the caller's stream ends with an error of kind "<kind>" and without its end

    Examples:
      | fault                | kind             |
      | target_failed        | target_failed    |
      | no finished event    | stream_truncated |
      | a token left out     | stream_truncated |
      | a plain answer       | stream_truncated |

  Scenario Outline: A wrong request is refused before the gateway sees it: <fault>
    Given a callers' server
    When a caller sends a request with "<fault>"
    Then the caller is refused with <status> "<kind>" and outcome "not_run"
    And the gateway was asked nothing

    Examples:
      | fault                        | status | kind                     |
      | no key                       | 401    | unauthenticated          |
      | another scheme               | 401    | unauthenticated          |
      | an unknown key               | 401    | unauthenticated          |
      | a key's hash as the key      | 401    | unauthenticated          |
      | a team not approved          | 403    | team_not_approved        |
      | an engine as plain service   | 400    | invalid_request          |
      | an unknown model             | 404    | unknown_model            |
      | another service's model      | 404    | unknown_model            |
      | an unknown service           | 404    | unknown_service          |
      | no JSON                      | 400    | invalid_request          |
      | no messages                  | 400    | invalid_request          |
      | several choices              | 400    | invalid_request          |
      | a body too large             | 413    | too_large                |
      | a body not UTF-8             | 400    | invalid_request          |
      | headers too large            | 413    | too_large                |
      | an empty Idempotency-Key     | 400    | invalid_request          |
      | Last-Event-ID without key    | 400    | invalid_request          |
      | a malformed program          | 404    | unknown_program          |
      | a malformed timeout          | 400    | invalid_request          |
      | an unknown path              | 404    | unknown_path             |
      | a wrong method               | 405    | method_not_allowed       |
      | a booking without key        | 400    | idempotency_key_required |
      | a budget above the team's    | 400    | invalid_request          |

  Scenario: A service's name may stand before the model
    Given a callers' server
    When a caller asks for a chat completion of "plan-models/berth-planner-70b"
    Then the gateway was asked for model "berth-planner-70b" of service "plan-models"

  Scenario: A team reaches the dependencies that its approval includes
    Given a callers' server
    When team "planners" books a crane with key "berth-7"
    Then the gateway was asked for "POST" "/book?crane=4" of service "quay-ops" without the caller's key
    And the caller gets the service's own answer

  Scenario: Programs are opened, shown and ended
    Given a callers' server
    Then programs are opened with budgets, shown, read and ended over HTTP

  Scenario: A caller that goes away cancels its call
    Given a callers' server whose gateway streams without end
    When a caller leaves its stream after the first token
    Then the gateway sees that the caller is gone

  Scenario: A slow reader holds the gateway back and is cut off in the end
    Given a callers' server whose gateway streams 64 MB
    When a caller does not read its stream
    Then the gateway has been read in part only
    And a caller that goes on reading nothing is cut off after 60 s

  Scenario: A graceful stop lets the stream in flight finish
    Given a callers' server whose gateway waits before its last event
    When the callers' server is stopped during a stream
    Then the caller's stream has tokens 0 to 3, a finish reason and its end
    And the callers' server refuses connections

  Scenario: Health, readiness and metrics
    Given a callers' server
    Then health is ok, readiness follows the gateway and metrics are exposed

  Scenario: No log line holds a key or content
    Given a callers' server
    When a caller asks for a chat completion
    And a caller sends a request with "an unknown key"
    Then each line of the server's log names its request and none holds a key or content

  Scenario: Any headers and body get a kind from the list
    Given a callers' server
    Then any headers and body are answered or refused with a kind from the list

  Scenario: The OpenAPI file matches the server
    Given a callers' server
    Then the OpenAPI file names exactly the paths and methods that the callers' server has

  Scenario: The page of the interface lists every error kind
    Then docs API lists each error kind with its status, outcome and retry
