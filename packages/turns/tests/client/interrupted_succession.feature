Feature: Successions that are interrupted or that not all processes know of

  # Guards against a successor that stops to count when it cannot register.
  Scenario: Programs of a home are admitted while an archive of it is absent and the object API is away
    Given archives "a, b, b1, c" with 2 replicas per turn
    And the object API is away
    When archive "b" is killed
    And 12000 ms pass
    Then an attempt of a program of "b" is admitted in "c"

  Scenario: Programs of a home are admitted after an absent archive has returned, the object API away
    Given archives "a, b, b1, c" with 2 replicas per turn
    And the object API is away
    When archive "b" is killed
    And 11000 ms pass
    And archive "b" is started
    And 5000 ms pass
    Then an attempt of a program of "b" is admitted in "c"

  # Guards against a vote that half of the archives refuse for good.
  Scenario Outline: A program of <home> is admitted in <entry> with <down> down, after a successor ended while the object API was away
    Given archives "a, b, b1, c" with 2 replicas per turn
    And the object API is away
    When archive "b" is killed
    And 11000 ms pass
    And archive "b1" is killed
    And archive "b" is started
    And the object API is back and 20000 ms pass
    And archive "<down>" is killed
    And 40000 ms pass
    Then an attempt of a program of "<home>" is admitted in "<entry>"

    Examples:
      | home | entry | down |
      | c    | b     | a    |
      | b    | c     | a    |
      | b    | b     | a    |
      | a    | b     | a    |
      | b    | a     | c    |

  # Guards against a superseded archive that passes for complete.
  Scenario Outline: A budget of <home> holds after a successor ended while the object API was away, <emptied> emptied and <down> down, in <entry>
    Given archives "a, b, b1, c" with 2 replicas per turn
    And the object API is away
    When archive "b" is killed
    And 11000 ms pass
    And archive "b1" is killed
    And archive "b" is started
    And the object API is back and 2000 ms pass
    And 1 attempts of 10 tokens of a program of "<home>" reserve from a budget of 200 concurrently, alternating over "<entry>"
    And 3 further attempts of 50 tokens of a program of "<home>" reserve from a budget of 200 concurrently, alternating over "<entry>"
    Then at least 3 attempts hold a reservation
    When all entry VMs are killed
    And archive "<down>" is killed
    And archive "<emptied>" restarts on an empty disk
    And archive "b1" is started
    And 3000 ms pass
    And 3 attempts of 50 tokens of a program of "<home>" reserve from a budget of 200 one after the other, some in vain, alternating over "b"
    Then at most 0 attempts hold a reservation

    Examples:
      | home | entry | down | emptied |
      | c    | c     | c    | a       |
      | c    | c     | a    | c       |
      | a    | a     | a    | c       |
      | a    | a     | c    | a       |
      | a    | c     | c    | a       |

  Scenario Outline: A budget holds after a successor ended <ms> ms after the loss
    Given archives "a, b, b1, c" with 2 replicas per turn
    And messages take 90 ms
    When archive "b" is killed
    And <ms> ms pass
    And archive "b1" is killed
    And messages take 1 ms
    And archive "b" is started
    And 2000 ms pass
    And 1 attempts of 10 tokens of a program of "c" reserve from a budget of 200 concurrently, alternating over "c"
    And 3 further attempts of 50 tokens of a program of "c" reserve from a budget of 200 concurrently, alternating over "c"
    Then at least 3 attempts hold a reservation
    When all entry VMs are killed
    And archive "c" is killed
    And archive "a" restarts on an empty disk
    And archive "b1" is started
    And 3000 ms pass
    And 3 attempts of 50 tokens of a program of "c" reserve from a budget of 200 one after the other, some in vain, alternating over "b"
    Then at most 0 attempts hold a reservation

    Examples:
      | ms   |
      | 6500 |
      | 6600 |
      | 6700 |
      | 6800 |
      | 6900 |
      | 7000 |
      | 7100 |
      | 7200 |
      | 7300 |
      | 7400 |

  # Guards against the registration of an archive that has left.
  Scenario Outline: A successor that retires <ms> ms after the loss is not registered again
    Given archives "a, b, b1, c" with 2 replicas per turn
    And messages take 100 ms
    When archive "b" is killed
    And <ms> ms pass
    And the retirement of archive "b1" begins
    And 12000 ms pass
    Then archive "b1" has left the list

    Examples:
      | ms   |
      | 5500 |
      | 5700 |
      | 5900 |
      | 6100 |
      | 6200 |
      | 6300 |
      | 6400 |
      | 6500 |
      | 6600 |
      | 6700 |
      | 6800 |
      | 6900 |
      | 7100 |

  # Guards against superseded disks that an archive knows from the list alone.
  Scenario: A budget holds when an archive that has only read of a superseded disk restarts
    Given archives "a, b, c" with 2 replicas per turn
    When archive "b" is permanently lost and "b1" replaces it
    And 5000 ms pass
    And archive "c" restarts on an empty disk
    And 5000 ms pass
    And entry VM "a" reaches only archives "a, b1"
    And 4 attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "a"
    Then at least 4 attempts hold a reservation
    When all entry VMs are killed
    And archive "b1" is killed and unregistered
    And archive "a" is killed
    And archive "c" is killed
    And archive "c" is started
    And archive "b" is started
    And 4 further attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "c"
    Then at most 0 attempts hold a reservation

  Scenario: A budget holds when the successor has retired and an emptied archive restarts
    Given archives "a, b, c" with 2 replicas per turn
    When archive "b" is permanently lost and "b1" replaces it
    And 5000 ms pass
    And archive "c" restarts on an empty disk
    And 5000 ms pass
    And entry VM "a" reaches only archives "a, b1"
    And 4 attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "a"
    Then at least 4 attempts hold a reservation
    When all entry VMs are killed
    And archive "b1" retires within 3000 ms and is removed
    And archive "a" is killed
    And archive "c" is killed
    And archive "c" is started
    And archive "b" is started
    And 4 further attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "c"
    Then at most 0 attempts hold a reservation

  Scenario: A budget holds when an added archive restarts after the successor has left
    Given archives "a, b, d" with 2 replicas per turn
    When archive "b" is permanently lost and "b1" replaces it
    And 5000 ms pass
    And archive "c" is added
    And 2000 ms pass
    And archive "d" retires within 3000 ms and is removed
    And 1000 ms pass
    And entry VM "a" reaches only archives "a, b1"
    And 4 attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "a"
    Then at least 4 attempts hold a reservation
    When all entry VMs are killed
    And archive "b1" is killed and unregistered
    And archive "a" is killed
    And archive "c" is killed
    And archive "c" is started
    And archive "b" is started
    And 4 further attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "c"
    Then at most 0 attempts hold a reservation

  Scenario: A budget holds when an emptied archive restarts without the list, to an entry VM whose list is behind
    Given archives "a, b, c" with 2 replicas per turn
    And entry VM "c:1" has read of archives "a, b, c" only
    When archive "b" is permanently lost and "b1" replaces it
    And 5000 ms pass
    And archive "c" restarts on an empty disk
    And 5000 ms pass
    And entry VM "a" reaches only archives "a, b1"
    And 4 attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "a"
    Then at least 4 attempts hold a reservation
    When all entry VMs are killed
    And archive "a" is killed
    And archive "c" is killed
    And archive "c" is started without the list of archives
    And archive "b" is started without the list of archives
    And 4 further attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "c:1"
    Then at most 0 attempts hold a reservation

  # Guards against majorities of lists that differ by two archives.
  Scenario: A budget holds at an entry VM whose list lacks two archives
    Given archives "a, b, c" with 2 replicas per turn
    And entry VM "a" has read of archives "a, b, c" only
    When archive "b1" is added
    And 2000 ms pass
    And archive "c1" is added
    And 2000 ms pass
    And entry VM "c" reaches only archives "b1, c, c1"
    And 4 attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "c"
    Then at least 4 attempts hold a reservation
    When entry VM "a" reaches only archives "a, b"
    And 4 further attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "a"
    Then at most 0 attempts hold a reservation

  Scenario: A program is admitted at an entry VM whose list lacks one archive
    Given archives "a, b, c" with 2 replicas per turn
    And entry VM "a" has read of archives "a, b, c" only
    When archive "b1" is added
    And 2000 ms pass
    Then an attempt of a program of "b" is admitted in "a"

  # Guards against retired archives that vote again after a restart.
  Scenario Outline: A budget of <home> holds at an entry VM whose list has retired archives that restarted
    Given archives "a, b, c, d, e" with 2 replicas per turn
    And entry VM "a:1" has read of archives "a, b, c, d, e" only
    When archive "d" retires within 3000 ms and is removed
    And archive "e" retires within 3000 ms and is removed
    And 1000 ms pass
    And archive "d" is started but not registered
    And archive "e" is started but not registered
    And 1000 ms pass
    And entry VM "c" reaches only archives "b, c"
    And 4 attempts of 50 tokens of a program of "<home>" reserve from a budget of 200 concurrently, alternating over "c"
    Then at least 4 attempts hold a reservation
    When entry VM "a:1" reaches only archives "a, d, e"
    And 4 further attempts of 50 tokens of a program of "<home>" reserve from a budget of 200 concurrently, alternating over "a:1"
    Then at most 0 attempts hold a reservation

    Examples:
      | home |
      | a    |
      | b    |

  # Guards against an archive that counts votes which its requester leaves out.
  Scenario: A program is admitted where the object API is away, after two archives elsewhere were superseded
    Given archives "a1, b1, b2, c1, c2" with 2 replicas per turn
    And entry VM "a1" has read of archives "a1, b1, b2, c1, c2" only
    And archive "a1" restarts
    And entry VM "a" has read of archives "a1, b1, b2, c1, c2" only
    And 2000 ms pass
    When the object API is away from "a"
    And archive "b1" is killed
    And archive "c1" is killed
    And 20000 ms pass
    Then an attempt of a program of "a" is admitted in "a"

  Scenario: A budget holds at a superseded home that is cut off without the list
    Given archives "a, b, c" with 2 replicas per turn
    And entry VM "b:1" has read of archives "a, b, c" only
    When archive "b" is killed
    And archive "b" is started without the list of archives
    And archive "b1" is added
    And 1000 ms pass
    And archives "b" are cut off from all other archives
    And 9000 ms pass
    And 4 attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "c"
    Then at least 4 attempts hold a reservation
    When entry VM "b:1" reaches only archives "b"
    And 4 further attempts of 50 tokens of a program of "b" reserve from a budget of 200 concurrently, alternating over "b:1"
    Then at most 0 attempts hold a reservation

  Scenario: A program is admitted with one archive down after two of a data centre did not reach each other
    Given archives "a, b, b1, c" with 2 replicas per turn
    And the object API is away
    When archives "b" and "b1" do not reach each other
    And 12000 ms pass
    And the object API is back and 20000 ms pass
    And archive "a" is killed
    And 40000 ms pass
    Then an attempt of a program of "b" is admitted in "c"

  Scenario: The place of an archive is taken beside two that do not reach each other
    Given archives "a, b, b1, b2, c" with 2 replicas per turn
    When archives "b" and "b1" do not reach each other
    And archive "b2" is killed
    And 20000 ms pass
    Then the place of one archive has been taken, but not of "a, b, b1, c"

  # Guards against a place that is never taken, since one peer reached the archive or is wrong.
  Scenario: A program is admitted after the only peer that reached an absent archive was killed
    Given archives "a, b, b1, c" with 2 replicas per turn
    When archives "b" and "b1" do not reach each other
    And archives "b" and "c" do not reach each other
    And 20000 ms pass
    And archive "a" is killed
    And 60000 ms pass
    Then an attempt of a program of "b" is admitted in "c"

  Scenario: A program is admitted although a peer with a stalled disk takes a lost archive for reachable
    Given archives "a, a1, b, b1, c, c1" with 2 replicas per turn
    And the disk of archive "c1" is stalled
    When 2 attempts of 10 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a"
    And archive "c" is killed
    And 1500 ms pass
    And archive "c" is started
    And 3000 ms pass
    And archive "b" is killed
    And 30000 ms pass
    And archive "a" is killed
    And 60000 ms pass
    Then an attempt of a program of "b" is admitted in "c"

  Scenario: A program is admitted after an archive was lost while another one takes no new files
    Given archives "a, b, b1, c" with 2 replicas per turn
    And the disk of archive "c" takes no data and no files
    When archive "b" is killed
    And 20000 ms pass
    Then an attempt of a program of "b" is admitted in "a"
