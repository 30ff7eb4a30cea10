Feature: Reservations while an archive is replaced
  An entry VM whose list of archives is behind still asks a retired archive.

  Scenario: Entry VMs that know the archive before and after a replacement keep to a budget
    Given archives "a, b, c" with 2 replicas per turn
    And entry VM "b:1" has read of archives "a, b, c" only
    And entry VM "b:1" reaches only archives "a, b"
    When archive "d" replaces archive "a", which retires and still replies
    And entry VM "b:2" reaches only archives "c, d"
    And 14 attempts of 40 tokens of a program of "e" reserve from a budget of 200 one after the other, some in vain, alternating over "b:1, b:2"
    Then at most 6 attempts hold a reservation

  Scenario: A program whose home has lost its archive to a retirement goes on
    Given archives "a, b, c" with 2 replicas per turn
    When archive "d" replaces archive "a", which retires and still replies
    Then an attempt of a program of "a" is admitted in "a"

  # Guards against 503s at the home while the successor of a lost archive reads the ledgers of its peers.
  Scenario: A home admits attempts while an archive elsewhere is down and an emptied one is not complete yet
    Given archives "a, b, c, d" with 2 replicas per turn
    And archive "b" restarts on an empty disk with "d" down for 5500 ms
    Then an attempt of a program of "a" is admitted in "a"

  # Guards against 503s in all data centres while the one of a replaced archive is isolated.
  Scenario: An archive that another one has taken the place of gets no vote while their data centre is isolated
    Given archives "a1, a2, b, c" with 2 replicas per turn
    And archive "a1" is killed
    Then an attempt of a program of "a" is admitted in "c"
    When 7000 ms pass
    Then an attempt of a program of "a" is admitted in "c"
    When data centre "a" is isolated
    Then an attempt of a program of "a" is admitted in "c"
    And an attempt of a program of "b" is admitted in "c"
