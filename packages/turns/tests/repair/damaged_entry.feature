Feature: Damaged entries in the log of an archive
  A damaged entry costs only itself, and is stored again from another archive.

  Background:
    Given archives "a, b, c, d" with 2 replicas per turn

  Scenario: A damaged entry does not keep other turns from being replicated
    Given 24 turns of separate programs finish in "a"
    And 1000 ms pass
    And the entry of one of these turns that is also on "b" is damaged on "a"
    When archive "b" is killed
    And 4600 ms pass
    Then each of the other turns is on 2 to 3 running archives
    And archive "a" has reported 1 damaged and 0 restored turns
    When archive "b" restarts
    And 3000 ms pass
    And archive "b" is killed
    Then the turn of the damaged entry is on "a"
    When 3000 ms pass
    Then archive "a" has reported 1 damaged and 1 restored turns

  Scenario: Many damaged entries are reported in few lines
    Given 24 turns of separate programs finish in "a"
    And 1000 ms pass
    And the entry of each of these turns is damaged on "a"
    And each of these turns is read in "a"
    And 9000 ms pass
    Then archive "a" has reported 24 damaged and 24 restored turns
    And archive "a" has reported damaged turns at most 3 times

  Scenario: A chain with damaged entries on both of its disks is read from both
    When turn "t1" finishes in "a"
    And turn "t2" after "t1" finishes in "a"
    And turn "t3" after "t2" finishes in "a"
    And the entry of turn "t1" is damaged on "a"
    And the entry of turn "t2" is damaged on the other disk with it
    Then a new entry VM in "a" reads the chain "t1, t2, t3"

  Scenario: A turn whose entries are all damaged is not called unknown
    When turn "t1" finishes in "a"
    And the entry of turn "t1" is damaged on "a"
    And the entry of turn "t1" is damaged on the other disk with it
    Then reading turn "t1" in "a" fails with archive_unavailable
    When 1000 ms pass
    Then reading turn "t1" in "c" fails with archive_unavailable

  Scenario: A damaged replica does not count for the retirement of another archive
    Given archives "a, b, c" with 2 replicas per turn
    When turn "t1" finishes in "a"
    And 1000 ms pass
    And the entry of turn "t1" is damaged on the other disk with it
    And turn "t1" is read in the data centre of the other disk with it
    And archive "a" retires within 2000 ms and is removed
    And 3000 ms pass
    And each disk with turn "t1" that was not damaged is lost
    Then a new entry VM in "b" reads the chain "t1"
