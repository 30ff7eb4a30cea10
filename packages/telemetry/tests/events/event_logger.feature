Feature: Event logger

  Scenario: A line contains the event's number, name, identifiers and fields
    Given an event logger at level "info"
    When the event logger logs a finished call of program "cat-lai.3.abc"
    Then the event log holds one line with event 2002, program "cat-lai.3.abc" and service "plan-models"

  Scenario Outline: Events below the level are not logged
    Given an event logger at level "<level>"
    When the event logger logs one event of each level
    Then the event log holds <lines> lines

    Examples:
      | level | lines |
      | debug | 4     |
      | info  | 3     |
      | warn  | 2     |
      | error | 1     |

  Scenario: No two events of the catalogue share a number or a message
    Then every event of the catalogue has a unique number and a unique message

  Scenario: The documentation of events matches the catalogue
    Then the documentation of events lists exactly the events of the catalogue
