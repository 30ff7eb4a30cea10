Feature: Operators' HTTP routes

  Scenario Outline: A request without an operator's key is rejected: <method> <path>
    Given an operators' server with a configuration
    When an operator with key "<key>" sends "<method>" "<path>" with body '{}'
    Then the operators' server responds with 401 and kind "unauthenticated"

    Examples:
      | method | path                             | key                   |
      | GET    | /ops/v1/config                   | planners-example-key  |
      | POST   | /ops/v1/config                   | planners-example-key  |
      | GET    | /ops/v1/config/history           | unknown               |
      | POST   | /ops/v1/teams/planners/approve   | planners-example-key  |
      | POST   | /ops/v1/teams/planners/revoke    | unknown               |
      | GET    | /ops/v1/status                   | unknown               |
      | GET    | /ops/v1/targets                  | unknown               |
      | GET    | /ops/v1/audit                    | unknown               |
      | DELETE | /ops/v1/quarantine/0123abcd      | unknown               |
      | DELETE | /ops/v1/programs/cat-lai.3.abc   | planners-example-key  |

  Scenario Outline: An invalid operators' request changes nothing: <fault>
    Given an operators' server with a configuration
    When an operator with key "ngoc-example-key" sends "POST" "<path>" with body '<body>'
    Then the operators' server responds with <status> and kind "<kind>"
    And the accepted configuration of the operators' server has version 1

    Examples:
      | fault            | path                         | body                                        | status | kind            |
      | invalid text     | /ops/v1/config               | {"text":"x","base_version":1,"why":"y"}     | 422    | config_invalid  |
      | no reason        | /ops/v1/config               | {"text":"x","base_version":1,"why":""}      | 400    | invalid_request |
      | no base version  | /ops/v1/config               | {"text":"x","why":"y"}                      | 400    | invalid_request |
      | unknown team     | /ops/v1/teams/planer/approve | {"why":"y"}                                 | 422    | config_invalid  |
      | approval unsaid  | /ops/v1/teams/planners/revoke | {}                                         | 400    | invalid_request |

  Scenario: The first configuration lists the operators who may apply it
    Given an operators' server without a configuration
    When an operator with key "planners-example-key" applies the example configuration at base version 0
    Then the operators' server responds with 401 and kind "unauthenticated"
    When an operator with key "ngoc-example-key" applies the example configuration at base version 0
    Then the accepted configuration of the operators' server has version 1

  Scenario: A change based on an old version is rejected with both changes
    Given an operators' server with a configuration
    When operator "ngoc" revokes team "gate-staff" because "key lost"
    And an operator with key "bao-example-key" applies the example configuration at base version 1
    Then the operators' server responds with 409 and kind "config_conflict"
    And the error of the operators' server names "ngoc" and "key lost"

  Scenario: An approval is recorded as one change in the audit trail
    Given an operators' server with a configuration
    When operator "ngoc" approves team "night-planners" because "night shift"
    Then the accepted configuration of the operators' server has version 2
    And team "night-planners" is approved in the accepted configuration
    And the audit trail of the operators' server begins with "ngoc" "change_config" "version 2"

  Scenario Outline: An action is recorded in the audit trail before it is taken
    Given an operators' server with a configuration
    When an operator with key "bao-example-key" sends "DELETE" "<path>" with body ''
    Then the operators' server has taken "<action>" of "<subject>"
    And the audit trail of the operators' server begins with "bao" "<action>" "<subject>"

    Examples:
      | path                           | action          | subject       |
      | /ops/v1/quarantine/0123abcd    | lift_quarantine | 0123abcd      |
      | /ops/v1/programs/cat-lai.3.abc | end_program     | cat-lai.3.abc |

  Scenario: An action whose record cannot be stored is not taken
    Given an operators' server with a configuration
    And the platform of the operators' server is down
    When an operator with key "bao-example-key" sends "DELETE" "/ops/v1/programs/cat-lai.3.abc" with body ''
    Then the operators' server responds with 503 and kind "platform_unavailable"
    And the operators' server has taken no action

  Scenario: An action whose record is stored is taken, though the response was lost
    Given an operators' server with a configuration
    And the platform of the operators' server loses its next response
    When an operator with key "bao-example-key" sends "DELETE" "/ops/v1/programs/cat-lai.3.abc" with body ''
    Then the operators' server has taken "end_program" of "cat-lai.3.abc"
    And the audit trail of the operators' server begins with "bao" "end_program" "cat-lai.3.abc"

  Scenario: The status shows the age of each fact
    Given an operators' server with a configuration
    When an operator with key "ngoc-example-key" sends "GET" "/ops/v1/status" with body ''
    Then each list of the fleet's status has a row, with its age where it can be old

  Scenario: The status page loads nothing from other origins
    Given an operators' server with a configuration
    When an operator with key "none" sends "GET" "/ops/" with body ''
    Then the status page is one document whose script parses

  Scenario: The OpenAPI file lists the operators' routes
    Given an operators' server with a configuration
    Then the OpenAPI file names exactly the paths and methods of the operators' server
