Feature: Cost of commits

  Scenario Outline: Writes and waits at <rate> calls a second, <engine> ms each
    Given a holder on a platform that takes 5 ms for a call
    When its programs make <rate> calls a second of <engine> ms each
    Then its commits take at most <writes> writes a call
    And half of its calls wait at most <wait> ms for commits

    Examples:
      | rate | engine | writes | wait |
      | 1    | 400    | 1.15   | 5    |
      | 100  | 400    | 1.1    | 5    |
      | 1    | 3000   | 1.6    | 5    |
