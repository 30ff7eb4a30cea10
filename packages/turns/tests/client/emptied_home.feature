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

  # Guards against a reservation that counts for a disk that was lost before the object API had it.
  Scenario Outline: A budget holds when the home loses its disk and is complete before a reservation is written
    Given archives "<archives>" with 2 replicas per turn
    When entry VM "a:1" reaches only archives "<reached>"
    And 2 attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a:1"
    Then at least 2 attempts hold a reservation
    When 1500 ms pass
    And an attempt "home 1" of 50 tokens of a program of "a" starts in "a:1" on a budget of 200
    And an attempt "home 2" of 50 tokens of a program of "a" starts in "a:1" on a budget of 200
    And 2 ms pass
    And messages take <writeMs> ms
    And 20 ms pass
    And messages take 1 ms
    And archives "<cutOff>" are cut off from all other archives
    And archive "a" loses its disk and is back after 300 ms
    And <waitMs> ms pass
    And entry VM "c" reaches only archives "a, b, c"
    And an attempt "elsewhere 1" of 50 tokens of a program of "a" starts in "c" on a budget of 200
    And an attempt "elsewhere 2" of 50 tokens of a program of "a" starts in "c" on a budget of 200
    And 5000 ms pass
    Then at most 4 attempts hold a reservation

    Examples:
      | archives    | reached | cutOff | writeMs | waitMs |
      | a, b, c     | a       |        | 1500    | 1220   |
      | a, b, c     | a       |        | 2500    | 2212   |
      | a, a2, b, c | a, a2   | a2     | 2500    | 2212   |
      | a, a2, b, c | a, a2   | a2     | 3500    | 3212   |
