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
    Given archives "a, b, c, d" are down for 10000 ms
    Then turn "t1" that finishes in "a" fails with archive_unavailable within 2000 ms

  Scenario: A turn waits for archives no longer than its call lasts
    Given archives "a, b, c, d" are down for 10000 ms
    Then turn "t1" that finishes in "a" with a call that ends after 600 ms fails with archive_unavailable within 610 ms
