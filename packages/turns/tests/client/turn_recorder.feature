Feature: Turns that finish while archives restart

  Background:
    Given archives "a, b, c, d" with 2 replicas per turn

  Scenario: A turn that finishes while no archive replies is stored once some return
    Given archives "a, b, c, d" are down for 300 ms
    When turn "t1" finishes in "a" within 1500 ms
    Then turn "t1" is on at least 1 disks
    When 2000 ms pass
    Then turn "t1" is on at least 2 disks

  Scenario: A turn that no archive can store fails after a short wait
    Given the object API is away
    And archives "a, b, c, d" are down for 10000 ms
    Then turn "t1" that finishes in "a" fails with archive_unavailable within 2000 ms

  Scenario: A turn that finishes while its entry VM knows one archive is stored on two disks
    Given archives "a" with 2 replicas per turn
    And the object API is away
    And archive "b" registers after 300 ms
    When turn "t1" finishes in "a" within 500 ms
    Then turn "t1" is on 2 disks
    When the disk of the archive "a" is lost and 100 ms pass
    Then a new entry VM in "b" reads the chain "t1"

  Scenario: A turn that finishes while its entry VM knows no archive is stored on two disks
    Given archives "" with 2 replicas per turn
    And the object API is away
    And archive "a" registers after 200 ms
    And archive "b" registers after 700 ms
    When turn "t1" finishes in "a" within 900 ms
    Then turn "t1" is on 2 disks

  Scenario: A turn that finishes while all other archives restart is stored on two disks
    Given the object API is away
    And archives "b, c, d" are down for 600 ms
    When turn "t1" finishes in "a" within 1500 ms
    Then turn "t1" is on 2 disks
    When the disk of the archive "a" is lost and 100 ms pass
    Then a new entry VM in "a" reads the chain "t1"

  Scenario: A turn of a site with one archive is stored there after a short wait
    Given archives "a" with 2 replicas per turn
    When turn "t1" finishes in "a" within 1600 ms
    Then turn "t1" is on 1 disks
    When archive "b" registers after 10 ms
    And 700 ms pass
    Then turn "t1" is on 2 disks

  Scenario: A turn on one disk ends in the time of its call although more archives are expected
    Given data centre "a" is isolated
    Then turn "t1" that finishes in "a" with a call that ends after 1200 ms is stored
    And turn "t1" is on 1 disks, among them "a"

  Scenario: A turn on one disk ends when its entry VM stops although more archives are expected
    Given data centre "a" is isolated
    Then turn "t1" that finishes in "a" is stored within 350 ms of its start, by an entry VM that stops after 300 ms
    And turn "t1" is on 1 disks, among them "a"

  Scenario: A turn waits for no archive that has been away for long
    Given data centre "a" is isolated
    When 3000 ms pass
    And turn "t1" finishes in "a" within 100 ms
    Then turn "t1" is on 1 disks, among them "a"

  Scenario: A turn on one disk survives when the disk is lost before other archives return
    Given data centre "a" is isolated
    And the object API is away from all data centres but "a"
    When 3000 ms pass
    And turn "t1" finishes in "a" within 100 ms
    And archive "a" is killed
    And the object API is away
    Then turn "t0" that finishes in "a" fails with archive_unavailable within 2000 ms
    When archive "a" loses its disk and nobody has read of its new one
    And the object API is back
    And 1200 ms pass
    Then turn "t1" is on 1 disks, among them "a"
    When the isolation ends and 2000 ms pass
    Then turn "t1" is on at least 2 disks
    And a new entry VM in "d" reads the chain "t1"

  Scenario: A turn on one disk survives when its archive's VM is lost for good before others return
    Given data centre "a" is isolated
    When 3000 ms pass
    And turn "t1" finishes in "a" within 100 ms
    And archive "a" is killed
    And the isolation ends and 4000 ms pass
    Then turn "t1" is on at least 2 disks

  Scenario: The wait of a turn ends once no archive is expected to return
    Given data centre "a" is isolated
    When turn "t1" finishes in "a" within 2000 ms
    And turn "t2" finishes in "a" within 1100 ms
    Then turn "t2" is on 1 disks, among them "a"

  Scenario: A turn waits for archives no longer than its call lasts
    Given the object API is away
    And archives "a, b, c, d" are down for 10000 ms
    Then turn "t1" that finishes in "a" with a call that ends after 600 ms fails with archive_unavailable within 610 ms

  Scenario: A turn on one disk ends within 2 s although all other archives return late and hang
    Given archives "a, b, c, d, e, f, g" with 2 replicas per turn
    And archives "c, d, e, f, g" do not reply to entry VM "a" for another 1000 ms
    And archives "b, c, d, e, f, g" hang when they store turns
    When turn "t1" finishes in "a" within 1950 ms
    Then turn "t1" is on 1 disks, among them "a"
    When archives "b, c, d, e, f, g" store turns again
    And 2000 ms pass
    Then turn "t1" is on at least 2 disks
