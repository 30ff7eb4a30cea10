Feature: Budgets while the places of archives are taken and given back

  # Guards against votes that count again without what was granted after the ledgers were read.
  Scenario: A budget holds when two archives count again while a third one restarts
    Given archives "a1, b1, b2, c1, c2" with 2 replicas per turn
    When archive "b1" is killed
    And archive "c1" is killed
    And 6000 ms pass
    And archive "a1" is killed
    And archive "b1" is started
    And archive "c1" is started
    And 420 ms pass
    And archive "a1" is started
    And 400 ms pass
    And 4 attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "c"
    Then at least 4 attempts hold a reservation
    When 3000 ms pass
    And all entry VMs are killed
    And archive "b2" is killed
    And 4 further attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "a"
    Then at most 0 attempts hold a reservation

  # Guards against grants between the reading of the ledgers and the new list.
  Scenario Outline: A budget holds when two archives that entry VMs still reach lose their places, <cutMs> ms into a cut
    Given archives "a1, b9, b4, c1, c8" with 2 replicas per turn
    And messages take 20 ms
    When archives "b9, c1" are cut off from all other archives
    And <cutMs> ms pass
    And 4 attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a"
    Then at least 4 attempts hold a reservation
    When 7000 ms pass
    And all entry VMs are killed
    And archive "a1" is killed
    And 4 further attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "c"
    Then at most 0 attempts hold a reservation

    Examples:
      | cutMs |
      | 5030  |
      | 6900  |
      | 7000  |
      | 7030  |
      | 7060  |
      | 7100  |
      | 7200  |
      | 7400  |
      | 8900  |
      | 9000  |
      | 9030  |
      | 9060  |
      | 9100  |
      | 9200  |
      | 10100 |
      | 10300 |
      | 12100 |
      | 12300 |

  # Guards against a vote that counts since the list that supersedes it is not read yet.
  Scenario Outline: A budget holds when an archive returns without the list after <awayMs> ms, to an entry VM whose list is behind
    Given archives "a, b, c" with 2 replicas per turn
    And entry VM "a" has read of archives "a, b, c" only
    When archive "b" is killed
    And archive "b1" is added
    And <awayMs> ms pass
    And 4 attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "c"
    Then at least 4 attempts hold a reservation
    When archive "b" is started without the list of archives
    And 4 further attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "a"
    Then at most 0 attempts hold a reservation

    Examples:
      | awayMs |
      | 2500   |
      | 6000   |

  # Guards against an archive that has not read that another one's vote is superseded.
  Scenario: A budget holds while an archive without the list and an entry VM count a superseded vote
    Given archives "a, b, c" with 2 replicas per turn
    And entry VM "a:1" has read of archives "a, b, c" only
    When archive "a" is killed
    And archive "a" is started without the list of archives
    And archive "b" is killed
    And archive "b" is started without the list of archives
    And archive "b1" is added
    And 1000 ms pass
    And archives "b" are cut off from all other archives
    And 9000 ms pass
    And 4 attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "a:1"
    Then at least 4 attempts hold a reservation
    When all entry VMs are killed
    And 4 further attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "c"
    Then at most 0 attempts hold a reservation

  # Guards against superseded votes that an archive forgets when it restarts.
  Scenario: A budget holds after an archive has restarted without the list, to an entry VM that counts a superseded vote
    Given archives "a, b, c" with 2 replicas per turn
    And entry VM "a:1" has read of archives "a, b, c" only
    When archive "b" is killed
    And archive "b" is started without the list of archives
    And archive "b1" is added
    And 1000 ms pass
    And archives "b" are cut off from all other archives
    And 9000 ms pass
    And archive "a" is killed
    And archive "a" is started without the list of archives
    And 4 attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "a:1"
    Then at least 4 attempts hold a reservation
    When all entry VMs are killed
    And 4 further attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "c"
    Then at most 0 attempts hold a reservation

  # Guards against superseded votes that are forgotten with the successor's registration.
  Scenario Outline: A budget holds when an archive returns after its successor <left>
    Given archives "a, b, c" with 2 replicas per turn
    When archive "b" is permanently lost and "b1" replaces it
    And 3000 ms pass
    And 4 attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "a"
    Then at least 4 attempts hold a reservation
    When all entry VMs are killed
    And archive "b1" <leaves>
    And archive "a" is killed
    And archive "b" is started
    And 4 further attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "c"
    Then at most 0 attempts hold a reservation

    Examples:
      | left             | leaves                                |
      | has retired      | retires within 3000 ms and is removed |
      | was unregistered | is killed and unregistered            |

  # Guards against superseded votes that no archive remembers since all were replaced.
  Scenario: A budget holds when an archive returns after all others were replaced
    Given archives "a, b, c" with 2 replicas per turn
    When archive "b" is permanently lost and "b1" replaces it
    And 5000 ms pass
    And archive "a" is permanently lost and "a1" replaces it
    And 5000 ms pass
    And archive "c" is permanently lost and "c1" replaces it
    And 5000 ms pass
    And 4 attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "c"
    Then at least 4 attempts hold a reservation
    When all entry VMs are killed
    And archive "b1" is killed and unregistered
    And 1000 ms pass
    And archive "c1" is killed
    And archive "a1" is killed
    And archive "a1" is started
    And archive "b" is started
    And 4 further attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "a"
    Then at most 0 attempts hold a reservation

  # Guards against a successor that votes before it has the ledgers that the vote stood for.
  Scenario: A successor does not count without the vote that it supersedes before it has read all ledgers
    Given archives "a, b, c" with 2 replicas per turn
    When archive "b1" is added
    And 1000 ms pass
    And archives "b" are cut off from all other archives
    And messages take 100 ms
    Then archive "b1" is incomplete without "b" as soon as archive "a" leaves that out, and complete 1000 ms later

  # Guards against a dead archive that counts again once its successor has retired.
  Scenario: Tokens are granted after a successor has retired and another archive is down
    Given archives "a, b, c, c1" with 2 replicas per turn
    When archive "b" is permanently lost and "b1" replaces it
    And 3000 ms pass
    And archive "b1" retires within 3000 ms and is removed
    And archive "c" is killed
    And 12000 ms pass
    Then an attempt of a program of "c" is admitted in "c"
