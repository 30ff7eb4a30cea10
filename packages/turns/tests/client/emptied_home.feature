Feature: Budgets while the archive of an isolated home is emptied

  # Guards against an emptied archive whose ledger counts as that of one which granted.
  Scenario: A budget holds when the home loses its disk while a reservation is written to a slow object API
    Given archives "a, b, c" with 2 replicas per turn
    When 3 attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a"
    Then at least 3 attempts hold a reservation
    When data centre "a" is cut off, which no entry VM has noticed
    And 1500 ms pass
    And messages take 150 ms
    And an attempt "elsewhere" of 50 tokens of a program of "a" starts in "b" on a budget of 200
    And 400 ms pass
    And an attempt "home" of 50 tokens of a program of "a" starts in "a" on a budget of 200
    And 400 ms pass
    And archive "a" loses its disk and is back after 800 ms
    And 10000 ms pass
    Then at most 4 attempts hold a reservation
