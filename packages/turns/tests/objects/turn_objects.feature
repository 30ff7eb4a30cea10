Feature: Turns in the object API while too few disks store them
  Memory is no copy: a disk and all other VMs may be lost at the same moment. A
  turn that was answered whole while fewer disks stored it was then called
  unknown.

  Background:
    Given archives "a, b, c" with 2 replicas per turn

  Scenario: A turn of an isolated data centre survives the loss of its disk and of all entry VMs
    Given data centre "a" is isolated
    When turn "t1" finishes in "a" within 2000 ms
    And all entry VMs are killed
    And archive "a" restarts on an empty disk
    And the isolation ends and 3000 ms pass
    Then turn "t1" is on at least 2 disks
    And a new entry VM in "b" reads the chain "t1"

  Scenario: A turn that only the object API holds is read from there
    Given archives "a, b, c" are down for 10000 ms
    When turn "t1" finishes in "a" within 2000 ms
    And all entry VMs are killed
    Then turn "t1" is on 0 disks
    And a new entry VM in "b" reads the chain "t1"

  Scenario: A turn that the object API may hold is not called unknown
    Given data centre "a" is isolated
    And the object API is away from all data centres but "a"
    When turn "t1" finishes in "a" within 2000 ms
    And all entry VMs are killed
    And the object API is away
    And archive "a" restarts on an empty disk
    And the isolation ends and 1500 ms pass
    Then reading turn "t1" in "b" fails with archive_unavailable
    When the object API is back and 2500 ms pass
    Then turn "t1" is on at least 2 disks
    And a new entry VM in "b" reads the chain "t1"

  Scenario: A turn that archives import while it is read is not called unknown
    Given archives "a, b, c" are down for 1000 ms
    When turn "t1" finishes in "a" within 900 ms
    Then turn "t1" is never called unknown in "b" for 4000 ms
    And turn "t1" is on at least 2 disks
    And no objects hold turns

  Scenario: An unknown turn is called unknown although an entry VM has ended
    When turn "t1" finishes in "a"
    And all entry VMs are killed
    Then reading turn "none" in "b" fails with unknown_turn

  Scenario: A turn fails while neither a second disk nor the object API can keep it
    Given data centre "c" is isolated
    And the object API is away
    Then turn "t1" that finishes in "c" fails with archive_unavailable within 2000 ms

  Scenario: The only entry VM of an isolated data centre serves turns that survive it and the disk
    Given data centre "c" is isolated
    When turn "t1" finishes in "c" within 2000 ms
    And all entry VMs are killed
    And archive "c" restarts on an empty disk
    And the isolation ends and 3000 ms pass
    Then turn "t1" is on at least 2 disks

  Scenario: A turn that exceeds the size of an object survives as well
    Given data centre "a" is isolated
    When a turn "t1" of 1500000 bytes finishes in "a" within 2000 ms
    And all entry VMs are killed
    And archive "a" restarts on an empty disk
    And the isolation ends and 3000 ms pass
    Then turn "t1" is on at least 2 disks
    And a new entry VM in "b" reads the chain "t1"
    When the isolation ends and 3000 ms pass
    Then no objects hold turns

  Scenario: Turns that finish together share writes to the object API
    Given data centre "a" is isolated
    When 3000 ms pass
    And 60 turns finish at a time in "a" within 500 ms
    Then the object API was written to at most 10 times

  Scenario: A turn on enough disks costs no call to the object API
    When 60 turns finish at a time in "a" within 500 ms
    Then the object API was written to at most 0 times

  Scenario: Archives that hang do not delay a turn that the object API stores
    Given archives "b, c" hang when they store turns
    When turn "t1" finishes in "a" within 700 ms
    And all entry VMs are killed
    And archive "a" restarts on an empty disk
    And archives "b, c" store turns again
    And 3000 ms pass
    Then turn "t1" is on at least 2 disks

  Scenario: A turn that could not be stored is refused before it runs
    Given data centre "a" is isolated
    And the object API is away from "a"
    When 1000 ms pass
    Then a turn is refused in "a" with archive_unavailable within 2000 ms
    And a turn is refused in "a" with archive_unavailable within 10 ms
    And a turn is accepted in "b" within 10 ms

  # Guards against callers that wait although their next connection is served elsewhere.
  Scenario: Callers of an isolated data centre return once the balancer sends them elsewhere
    Given data centre "a" is isolated
    And the object API is away from "a"
    When 1000 ms pass
    Then a turn is refused in "a" for a retry after 1250 to 2300 ms
    When 1300 ms pass
    Then a turn is refused in "a" for a retry after 50 to 1000 ms
    When 1000 ms pass
    Then a turn is refused in "a" for a retry after 50 to 50 ms
    When the isolation ends and 1000 ms pass
    And data centre "a" is isolated
    And 1000 ms pass
    Then a turn is refused in "a" for a retry after 1250 to 2300 ms

  Scenario: A turn of an isolated data centre that reaches the object API is accepted
    Given data centre "a" is isolated
    When turn "t1" finishes in "a" within 2000 ms
    Then a turn is accepted in "a" within 10 ms

  Scenario: A turn is accepted once archives that restart have returned
    Given the VMs of archives that are down refuse connections
    And the object API is away
    And archives "b, c" are down for 900 ms
    When turn "t0" finishes in "a" within 1500 ms
    Then a turn is accepted in "a" within 10 ms

  Scenario: Turns whose calls have ended do not delay others once the object API is back
    Given data centre "a" is isolated
    And the object API is away
    When 200 turns of 100000 bytes fail in "a"
    And the object API is back
    Then turn "t1" finishes in "a" within 700 ms

  # Guards against responses that are truncated since answers of the object API are lost.
  Scenario: A turn finishes although the object API loses the answers of writes
    Given data centre "a" is isolated
    And the object API loses the answers of 3 writes
    When turn "t1" finishes in "a" within 1900 ms
    And all entry VMs are killed
    And archive "a" restarts on an empty disk
    And the isolation ends and 3000 ms pass
    Then a new entry VM in "b" reads the chain "t1"

  Scenario: Turns are refused before they run while the object API replies to reads only
    Given data centre "a" is isolated
    And the object API loses writes
    Then turn "t1" that finishes in "a" fails with archive_unavailable within 2000 ms
    And a turn is refused in "a" with archive_unavailable within 10 ms

  # Guards against a turn that an object of another process stands for.
  Scenario: A turn whose object has the name of another one is not acknowledged
    Given data centre "a" is isolated
    And objects with the names of those that "a" writes next exist
    Then turn "t1" that finishes in "a" fails with archive_unavailable within 2000 ms

  # Guards against ancestors that the object API drops before their chain ends.
  Scenario: A chain that goes on beside one disk for minutes survives its loss
    Given archives "b, c" are down for 280000 ms
    When turn "t0" finishes in "a" within 2000 ms
    And a chain of 6 turns after "t0" finishes in "a", with 45000 ms between them
    And all entry VMs are killed
    And archive "a" restarts on an empty disk
    And 20000 ms pass
    Then a new entry VM in "b" reads the chain "t0, t1, t2, t3, t4, t5, t6"
