Feature: The command line

  Scenario Outline: <command> reports each problem of a file with its line
    Given the example file "<file>" with "<found>" changed to "<changed>"
    When the command line runs "<command> {file}"
    Then the command line exits with <code>
    And the command line's output contains '<said>'

    Examples:
      | command        | file                                | found    | changed   | code | said                                                       |
      | config check   | examples/waikato/operators.ini      | lease_ms | lease_ms  | 0    | is valid                                                   |
      | config check   | examples/waikato/operators.ini      | lease_ms | leese_ms  | 3    | line 6: [fleet] leese_ms: unknown key; did you mean "lease_ms"? |
      | settings check | examples/waikato/daemons/entry-1.ini | drain_ms | drain_ms | 0    | is valid                                                   |
      | settings check | examples/waikato/daemons/entry-1.ini | port = 8080 | port = x | 3  | [callers] port: expected a whole number from 1 to 65535, found "x" |

  Scenario Outline: <command> maps its result to exit code <code>
    Given an operators' server for the command line
    When operator "<operator>" runs "<command>"
    Then the command line exits with <code>
    And the command line's output contains '<said>'

    Examples:
      | operator | command                                                    | code | said                                   |
      | ngoc     | status                                                     | 0    | platform reachable                     |
      | ngoc     | status                                                     | 0    | plan-models  engine  quay-ops          |
      | ngoc     | target list                                                | 0    | gate-assistant-8b                      |
      | ngoc     | config status                                              | 0    | entry-1                                |
      | ngoc     | config get                                                 | 0    | [team night-planners]                  |
      | ngoc     | config history                                             | 0    | first text                             |
      | ngoc     | config diff examples/tran-gia/operators.ini                | 0    | against version 1                      |
      | ngoc     | config apply examples/tran-gia/operators.ini --base-version 0 --why x | 6 | config_conflict              |
      | ngoc     | config apply examples/tran-gia/daemons/entry-1.ini --base-version 1 --why x | 3 | unknown kind of section |
      | ngoc     | team approve night-planners --why shift                    | 0    | version 2                              |
      | ngoc     | team revoke planer --why x                                 | 3    | did you mean "planners"?               |
      | ngoc     | program show cat-lai.3.abc                                 | 0    | prefillMs=11.5                         |
      | ngoc     | program show cat-lai.3.none                                | 5    | unknown_program                        |
      | ngoc     | program history cat-lai.3.abc                              | 0    | user: hello                            |
      | ngoc     | program end cat-lai.3.abc                                  | 0    | ended                                  |
      | ngoc     | quarantine list                                            | 0    | 0123abcd                               |
      | ngoc     | quarantine lift 0123abcd                                   | 0    | may run again                          |
      | ngoc     | audit                                                      | 0    | change_config                          |
      | planners | status                                                     | 4    | unauthenticated                        |
      | ngoc     | config apply examples/tran-gia/operators.ini               | 2    | Missing required flag                  |
      | ngoc     | config none                                                | 2    | config:none not found                  |

  Scenario: An unreachable daemon has an exit code of its own
    When operator "ngoc" runs "status --daemon http://127.0.0.1:1" without a server
    Then the command line exits with 7
    And the command line's output contains 'peer_unavailable'

  Scenario Outline: <command> prints one JSON value with --json
    Given an operators' server for the command line
    When operator "ngoc" runs "<command> --json"
    Then the command line's output is JSON with "<field>"

    Examples:
      | command                     | field    |
      | status                      | members  |
      | config history              | changes  |
      | program show cat-lai.3.abc  | calls    |
      | program show cat-lai.3.none | error    |

  Scenario: An experiment is run, compared and plotted
    When a short experiment is run, compared and plotted from the command line
    Then the comparison has one row for each policy and the plot is SVG

  Scenario: bench compare rejects a file not written by bench run
    Given the example file "README.md" with "marigoldpost" changed to "marigoldpost"
    When the command line runs "bench compare {file}"
    Then the command line exits with 3
    And the command line's output contains 'was not written by'

  Scenario: docs/CLI.md lists the commands and exit codes of the code
    Then docs/CLI.md lists every command and every exit code
