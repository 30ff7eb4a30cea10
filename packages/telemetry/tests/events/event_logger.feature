Feature: Event logger

  Scenario: A line carries the event's number, name, identifiers and fields
    Given an event logger at level "info"
    When the event logger logs a finished call of program "cat-lai.3.abc"
    Then the event log holds one line with event 2002, program "cat-lai.3.abc" and service "plan-models"

  Scenario Outline: Events below the level are left out
    Given an event logger at level "<level>"
    When the event logger logs one event of each level
    Then the event log holds <lines> lines

    Examples:
      | level | lines |
      | debug | 4     |
      | info  | 3     |
      | warn  | 2     |
      | error | 1     |

  Scenario: Numbers and messages of the catalogue are unique
    Then every event of the catalogue has a number and a message of its own

  Scenario: The page of events matches the catalogue
    Then the page of events lists exactly the events of the catalogue
