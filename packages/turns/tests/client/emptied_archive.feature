Feature: Reservations beside an archive that has lost its disk
  Another archive, which has recorded attempts with the lost disk, is away for
  longer than a restart.

  Scenario: An emptied archive grants nothing while another one that may have recorded attempts with it is away
    Given archives "a, b, c" with 2 replicas per turn
    And entry VM "a:1" reaches only archives "a, b"
    When attempts that reserve 50 tokens and use 50 run sequentially in "a:1" on a budget of 200
    And archive "a" restarts on an empty disk with "b" down for 5500 ms
    And 1500 ms pass
    Then an attempt of a program of "a" in "a:2" fails with archive_unavailable
    When 3000 ms pass
    Then another attempt of 50 tokens in "a:2" fails with tokens_spent

  Scenario: An emptied archive of a home that decided by itself grants nothing while the other one there is away
    Given archives "a1, a2, b, c" with 2 replicas per turn
    And data centre "a" is isolated
    When 4 attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a"
    And all entry VMs are killed
    And the object API is away
    And archive "a1" restarts on an empty disk with "a2" down for 5500 ms
    And the isolation ends and 1500 ms pass
    Then an attempt of a program of "a" in "a:2" fails with archive_unavailable
    When the object API is back and 3000 ms pass
    Then another attempt of 50 tokens in "a:2" fails with tokens_spent

  Scenario: An emptied archive takes the ledger of another emptied one for incomplete
    Given archives "a, b, c, d, e" with 3 replicas per turn
    And entry VM "a:1" reaches only archives "a, b, c"
    When attempts that reserve 50 tokens and use 50 run sequentially in "a:1" on a budget of 200
    And archives "a, c" restart on empty disks with "b" down for 5500 ms
    And 1500 ms pass
    Then an attempt of a program of "a" in "a:2" fails with archive_unavailable
    When 3000 ms pass
    Then another attempt of 50 tokens in "a:2" fails with tokens_spent

  Scenario: An emptied archive that restarts before it has read all ledgers grants nothing
    Given archives "a, b, c" with 2 replicas per turn
    And entry VM "a:1" reaches only archives "a, b"
    When attempts that reserve 50 tokens and use 50 run sequentially in "a:1" on a budget of 200
    And archive "c" alone knows of another program
    And archive "a" restarts on an empty disk with "b" down for 4500 ms
    And archive "a" is killed
    And archive "a" restarts
    And 500 ms pass
    Then an attempt of a program of "a" in "a:2" fails with archive_unavailable
    When 3500 ms pass
    Then another attempt of 50 tokens in "a:2" fails with tokens_spent

  Scenario: Archives that restart without programs grant at once
    Given archives "a, b, c" with 2 replicas per turn
    When archive "b" is killed
    And archive "a" is killed
    And archive "a" restarts
    Then an attempt of a program of "a" is admitted in "a" within 1000 ms

  Scenario: An emptied archive grants as soon as those that are up have sent the ledgers of every quorum
    Given archives "a, b, c, d, e" with 2 replicas per turn
    When archive "a" restarts on an empty disk with "b" down for 60000 ms
    And 1000 ms pass
    Then an attempt of a program of "a" is admitted in "a"

  Scenario: An emptied archive grants although another one is gone for good
    Given archives "a, b, c" with 2 replicas per turn
    When archive "a" restarts on an empty disk with "b" down for 600000 ms
    And 31000 ms pass
    Then an attempt of a program of "a" is admitted in "a"

  # Guards against budgets that are spent again since an absent archive was presumed lost.
  Scenario Outline: An archive that may alone know of a budget is waited for while it is away for long
    Given archives "a, b, c" with 2 replicas per turn
    And entry VM "a:1" reaches only archives "a, b"
    When attempts that reserve 50 tokens and use 50 run sequentially in "a:1" on a budget of 200
    And all entry VMs are killed
    And archive "<emptied>" restarts on an empty disk with "<away>" down for 20000 ms
    And 10000 ms pass
    Then an attempt of a program of "a" in "<entry>" fails with archive_unavailable
    When 14000 ms pass
    Then another attempt of 50 tokens in "<entry>" fails with tokens_spent

    Examples:
      | emptied | away | entry |
      | a       | b    | a:2   |
      | a       | b    | c:2   |
      | b       | a    | c:2   |

  # Guards against a site that is suspended for as long as replaced archives stay registered.
  Scenario: Archives that others have taken the place of are not waited for
    Given archives "a, b1, b2, c1, c2" with 2 replicas per turn
    And archive "b1" is killed
    And 12000 ms pass
    When archive "c1" is killed
    And 12000 ms pass
    And the disk of the archive "a" is lost and 2500 ms pass
    Then an attempt of a program of "a" is admitted in "a" within 1000 ms

  # Guards against archives that are presumed lost since their data centres have others.
  Scenario Outline: A budget holds while <one> and <other> are down and the home loses its disk
    Given archives "a, b1, b2, c1, c2" with 2 replicas per turn
    When 4 attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a"
    Then at least 4 attempts hold a reservation
    When all entry VMs are killed
    And archive "<one>" is killed
    And archive "a" restarts on an empty disk with "<other>" down for 60000 ms
    And 2500 ms pass
    And 4 further attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a"
    Then at most 0 attempts hold a reservation

    Examples:
      | one | other |
      | b1  | c1    |
      | b1  | c2    |
      | b2  | c1    |
      | b2  | c2    |
