Feature: Turns that finish while the network is split
  Archives that restart return within the wait of a turn, so it waits for a
  second disk. Those behind a split network do not.

  Background:
    Given archives "a, b, c, d" with 2 replicas per turn

  Scenario: A turn in an isolated data centre does not wait for archives of which no VM replies
    Given data centre "a" is isolated
    When turn "t1" finishes in "a" within 700 ms
    Then turn "t1" is on 1 disks, among them "a"
    When turn "t2" finishes in "a" within 20 ms
    Then turn "t2" is on 1 disks, among them "a"
    When the isolation ends and 2000 ms pass
    Then turn "t1" is on at least 2 disks
    And turn "t2" is on at least 2 disks

  Scenario: A turn waits while the processes of all other archives restart
    Given the object API is away
    And the VMs of archives that are down refuse connections
    And archives "b, c, d" are down for 1300 ms
    When turn "t1" finishes in "a" within 1500 ms
    Then turn "t1" is on 2 disks

  Scenario: A turn waits while one of the other archives restarts and the others are silent
    Given archives "a, b, c" with 2 replicas per turn
    And the object API is away
    And the VMs of archives that are down refuse connections
    And data centre "b" is isolated
    And archive "c" is down for 1300 ms
    When turn "t1" finishes in "a" within 1900 ms
    Then turn "t1" is on 2 disks

  Scenario: A turn waits for an archive that hangs although another one has been away for long
    Given archives "a, b, c" with 2 replicas per turn
    And the object API is away
    And archive "b" is killed
    And turn "t0" finishes in "a"
    And 3000 ms pass
    And archive "c" is down for 900 ms
    When turn "t1" finishes in "a" within 1500 ms
    Then turn "t1" is on 2 disks

  Scenario: A turn in an isolated data centre waits for an archive there that hangs
    Given archives "a1, a2, b, c" with 2 replicas per turn
    And the object API is away
    And data centre "a" is isolated
    And archive "a2" is down for 900 ms
    When turn "t1" finishes in "a" within 1900 ms
    Then turn "t1" is on 2 disks

  Scenario: A turn in an isolated data centre waits for the only other archive, which may hang
    Given archives "a, b" with 2 replicas per turn
    And the object API is away
    And archive "b" is down for 900 ms
    When turn "t1" finishes in "a" within 1500 ms
    Then turn "t1" is on 2 disks
