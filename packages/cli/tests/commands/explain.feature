Feature: The explain command prints what an entry VM answers

  Guards against an answer that is lost in the table, and against a command that
  takes a failure for an answer.

  Scenario Outline: An explanation in which <case> prints "<printed>"
    Given an entry VM whose explanation has <case>
    When the command line explains a request at it
    Then the command line exits with 0
    And the command line's output contains '<printed>'

    Examples:
      | case                      | printed                                                              |
      | a choice                  | the request would go to b                                            |
      | targets drawn at random   | go to b most probably, as the targets to compare are drawn at random |
      | a wait for a rate limit   | after a wait for the rate limit of the target                        |
      | every window full         | no target has room: the request would be queued                      |
      | every target leaving      | no target may receive the request                                    |
      | a target with a full window | no: window full                                                    |
      | a report of others        | 150.0 ms                                                             |
      | a tenant                  | tenant acme, priority 0                                              |

  Scenario: The explanation is one JSON value with --json
    Given an entry VM whose explanation has a choice
    When the command line explains a request at it with "--json"
    Then the command line's output is JSON with "services"

  Scenario Outline: An entry VM that <does> gives exit code <code>
    Given an entry VM that <does>
    When the command line explains a request at it
    Then the command line exits with <code>
    And the command line's output contains '<said>'

    Examples:
      | does                            | code | said                            |
      | refuses connections             | 7    | does not answer                 |
      | never answers                   | 7    | does not answer                 |
      | resets the connection           | 7    | does not answer                 |
      | answers with metrics            | 7    | explains no placements          |
      | answers with other JSON         | 7    | explains no placements          |
      | answers with an unknown route   | 5    | unknown_path: no route matches  |
      | answers with no target          | 7    | no_target: service              |

  Scenario: A malformed address is not valid
    When the command line runs "explain --entry 10.0.0.1:9464 --host h --path /x"
    Then the command line exits with 3
    And the command line's output contains 'expected http://<ip>:<port>'
