Feature: The operators' configuration

  Scenario Outline: The example configuration of <user> is valid
    Given the operators' configuration of "<user>"
    Then the operators' configuration has <centres> data centres, <engines> engine targets and <plain> plain targets
    And the plain services of the operators' configuration are not idempotent
    And the 8 daemon settings of "<user>" name its data centres

    Examples:
      | user     | centres | engines | plain |
      | tran-gia | 4       | 8       | 4     |
      | waikato  | 3       | 10      | 3     |

  Scenario Outline: A problem is reported at its line: <problem>
    Given the operators' configuration of "tran-gia"
    When "<found>" of the operators' configuration becomes "<changed>"
    Then the operators' configuration has a problem at the changed line with key "<key>" that says '<message>'

    Examples:
      | problem               | found                  | changed                      | key                  | message                               |
      | unknown key           | lease_ms = 3000        | leese_ms = 3000              | leese_ms             | did you mean "lease_ms"?              |
      | wrong type            | lease_ms = 3000        | lease_ms = soon              | lease_ms             | a whole number from 300 to 60000      |
      | out of range          | cache_weight = 0.2     | cache_weight = 1.5           | cache_weight         | a number from 0 to 1                  |
      | lease too short       | lease_ms = 3000        | lease_ms = 1000              | lease_ms             | at least 3 times heartbeat_ms         |
      | unknown service       | services = plan-models | services = plan-model        | services             | did you mean "plan-models"?           |
      | unknown dependency    | depends_on = quay-ops  | depends_on = key-ops         | depends_on           | did you mean "quay-ops"?              |
      | dependency cycle      | kind = plain           | kind = plain\ndepends_on = plan-models | depends_on | quay-ops -> plan-models -> quay-ops   |
      | limit out of range    | max_in_flight = 256    | max_in_flight = 0            | max_in_flight        | a whole number from 1 to 1000000      |
      | shares not 1          | max_in_flight = 64     | limit_shares = cat-lai:0.5   | limit_shares         | add up to 1, found 0.5                |
      | share of unknown      | max_in_flight = 64     | limit_shares = cat-lei:1     | limit_shares         | did you mean "cat-lai"?               |
      | same key twice        | heartbeat_ms = 500     | lease_ms = 500               | lease_ms             | key is already given at line          |
      | dependency unapproved | includes_dependencies = yes | includes_dependencies = no | services            | depends on quay-ops                   |
      | key not hashed        | key_hashes =           | key_hashes = secret,         | key_hashes           | SHA-256 hashes                        |
      | unknown class         | call_class = immediate | call_class = urgent          | call_class           | one of "immediate", "normal", "batch" |
      | bad address           | address = http://10.21.1.101:8000 | address = http://host:8000 | address      | http://<ip>:<port>                    |
      | unknown data centre   | data_centre = phu-huu  | data_centre = phu-huy        | data_centre          | did you mean "phu-huu"?               |
      | same section twice    | [team gate-staff]      | [team planners]              |                      | section is already given at line      |
      | unknown section       | [team gate-staff]      | [teem gate-staff]            |                      | did you mean "team"?                  |
      | not a key             | is_idempotent = no     | is idempotent                |                      | expected "key = value"                |

  Scenario: All problems are reported at once
    Given the operators' configuration of "waikato"
    When "lease_ms = 3000" of the operators' configuration becomes "lease_ms = x"
    And "kind = plain" of the operators' configuration becomes "kind = plane"
    And "[team call-centre]" of the operators' configuration becomes "[team stallholders]"
    Then reading the operators' configuration throws "config_invalid" with at least 3 lines of problems

  Scenario: Any text is parsed or rejected with problems, without a crash
    Then any text is either parsed as an operators' configuration or has problems with line numbers

  Scenario Outline: Changing a team's approval changes only its line
    Given the operators' configuration of "<user>"
    When the operators' configuration has team "<team>" approved "<approved>"
    Then the operators' configuration differs in 1 line and team "<team>" is approved "<approved>"

    Examples:
      | user     | team               | approved |
      | tran-gia | night-planners     | yes      |
      | tran-gia | planners           | no       |
      | waikato  | school-fundraisers | yes      |

  Scenario: Approving an unknown team is rejected with the nearest name
    Given the operators' configuration of "tran-gia"
    Then approving team "planer" in the operators' configuration throws "config_invalid" with "planners"
