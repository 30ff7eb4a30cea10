Feature: Reservations in the object API
  A home that is isolated counts a budget on one disk, and one whose archive is
  down counts it elsewhere. If the disk was lost together with the memory of the
  entry VMs, or the archive restarted in isolation, the budget was spent again.

  Background:
    Given archives "a, b, c" with 2 replicas per turn

  Scenario: A budget that an isolated data centre has counted on one disk holds without the disk and the entry VMs
    Given data centre "a" is isolated
    When 3 attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a"
    Then at least 3 attempts hold a reservation
    When all entry VMs are killed
    And archive "a" restarts on an empty disk
    And the isolation ends and 4000 ms pass
    And 4 further attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a"
    Then at most 1 attempts hold a reservation

  Scenario: A budget that was counted while its home's archive was down holds in an isolated home
    Given archive "a" is killed
    When 3 attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a"
    Then at least 3 attempts hold a reservation
    When all entry VMs are killed
    And data centre "a" is isolated
    And archive "a" restarts
    And 1000 ms pass
    And 4 further attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a, a:2"
    Then at most 1 attempts hold a reservation

  Scenario: Tokens that were reserved and not used can be reserved again in an isolated home
    Given data centre "a" is isolated
    When attempts that reserve 50 tokens and use 20 run sequentially in "a" on a budget of 200
    Then at least 8 attempts hold a reservation

  Scenario: An isolated home grants nothing while only one disk would count it
    Given data centre "c" is isolated
    And the object API is away
    Then an attempt of a program of "c" in "c" fails with archive_unavailable

  Scenario: The only entry VM of an isolated home keeps to a budget after the loss of the disk
    Given data centre "a" is isolated
    When 4 attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a"
    Then at least 4 attempts hold a reservation
    When all entry VMs are killed
    And archive "a" restarts on an empty disk
    And the isolation ends and 2000 ms pass
    Then another attempt of 50 tokens in "a" fails with tokens_spent

  Scenario: An emptied archive grants nothing before it has read the reservations of the object API
    Given data centre "a" is isolated
    When 4 attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a"
    And all entry VMs are killed
    And the object API is away
    And archive "a" restarts on an empty disk
    And the isolation ends and 500 ms pass
    Then an attempt of a program of "a" in "a" that may wait for 200 ms fails with archive_unavailable within 700 ms
    When the object API is back and 2000 ms pass
    Then another attempt of 50 tokens in "a:2" fails with tokens_spent

  Scenario: An isolated home and a majority elsewhere keep to a budget together
    Given data centre "a" is isolated
    When 12 attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a, b, c"
    Then at most 4 attempts hold a reservation

  Scenario: An isolated home and a majority elsewhere see each other's reservations
    Given data centre "a" is isolated
    When 12 attempts of 50 tokens of a program of "a" reserve from a budget of 200 one after the other, some in vain, alternating over "a, b, c"
    Then at most 4 attempts hold a reservation
    And at least 4 attempts hold a reservation

  Scenario: A program goes on through other data centres while its home is isolated
    Given data centre "a" is isolated
    When 4 attempts of 50 tokens of a program of "a" reserve from a budget of 200 one after the other, some in vain, alternating over "b, c"
    Then at least 4 attempts hold a reservation

  Scenario: A program goes on through other data centres once the archive of its home is gone for good
    When 1 attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a"
    And archive "a" is killed
    And 3000 ms pass
    And 3 further attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "b"
    Then at least 3 attempts hold a reservation

  Scenario: A budget that no more disks have counted than may be lost holds without them
    Given archives "a, b, c" with 3 replicas per turn
    And entry VM "a:1" reaches only archives "a, b"
    When 4 attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a:1"
    Then at least 4 attempts hold a reservation
    When all entry VMs are killed
    And archives "a, b" restart on empty disks with "c" down for 100 ms
    And 4000 ms pass
    Then another attempt of 50 tokens in "b" fails with tokens_spent

  # Guards against attempts that wait in vain for archives once the object API can take their place.
  Scenario: An attempt that waits for archives goes on as soon as the object API replies again
    Given data centre "a" is isolated
    And turn "t1" finishes in "a"
    And the object API is away
    And 600 ms pass
    And the object API is back after 300 ms
    Then an attempt of a program of "a" is admitted in "a" within 1000 ms

  # Guards against attempts that are rejected since archives or the object API failed once.
  Scenario: An attempt that the object API has not recorded waits for archives
    Given data centre "a" is isolated
    And turn "t1" finishes in "a"
    And the object API loses writes
    And the isolation ends after 800 ms
    Then an attempt of a program of "a" is admitted in "a" within 1500 ms
