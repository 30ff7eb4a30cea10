Feature: Budgets while archives are superseded

  # Guards against majorities that do not meet since archives lost their votes by time.
  Scenario: A budget holds while three of five archives are away for longer than a restart
    Given archives "a1, b1, b2, c1, c2" with 2 replicas per turn
    When 4 attempts of 50 tokens of a program of "a" reserve from a budget of 200 one after the other, some in vain, alternating over "a"
    Then at least 4 attempts hold a reservation
    When all entry VMs are killed
    And archive "a1" is killed
    And archive "b1" is killed
    And archive "c1" is killed
    And 1 further attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "b"
    And 8000 ms pass
    And 4 further attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "b"
    Then at most 0 attempts hold a reservation

  # Guards against an archive that counts again without what was granted in its absence.
  Scenario: A budget holds after archives whose place was taken have returned
    Given archives "a1, b1, b2, c1, c2" with 2 replicas per turn
    When archive "b1" is killed
    And archive "c1" is killed
    And 16000 ms pass
    And 4 attempts of 50 tokens of a program of "a" reserve from a budget of 200 one after the other, some in vain, alternating over "a"
    Then at least 4 attempts hold a reservation
    When all entry VMs are killed
    And archive "a1" is killed
    And archive "b2" is killed
    And archive "b1" is started
    And archive "c1" is started
    And 4 further attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "c"
    Then at most 0 attempts hold a reservation

  Scenario: Archives whose place was taken count again with a new disk
    Given archives "a1, b1, b2, c1, c2" with 2 replicas per turn
    When archive "b1" is killed
    And archive "c1" is killed
    And 16000 ms pass
    And the disk of the archive "b1" is lost and 3000 ms pass
    And the disk of the archive "c1" is lost and 3000 ms pass
    And archive "b2" is killed
    And archive "c2" is killed
    And 1000 ms pass
    Then an attempt of a program of "a" is admitted in "a"

  Scenario: Votes whose place was taken stay left out after the successor has lost its disk
    Given archives "a, b, c" with 2 replicas per turn
    When archive "a" is permanently lost and "a1" replaces it
    And 4000 ms pass
    And the disk of the archive "a1" is lost and 50 ms pass
    Then an attempt of a program of "b" is admitted in "c" within 60 ms
