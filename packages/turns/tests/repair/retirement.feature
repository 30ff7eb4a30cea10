Feature: Retirement of an archive
  A retired archive's VM is removed with its disk. A disk may be lost right after.

  Background:
    Given archives "a, b, c, d" with 2 replicas per turn

  Scenario: A retired archive leaves every turn on enough other disks
    When turn "t1" finishes in "a"
    And archive "a" retires within 2000 ms and is removed
    Then turn "t1" is on at least 2 disks

  Scenario: A disk that is down and lost does not count for a retirement
    When turn "t1" finishes in "a"
    And 1000 ms pass
    And the archive of the other disk with turn "t1" goes down and its disk is lost
    And archive "a" retires within 4000 ms and is removed
    Then turn "t1" is on at least 2 disks

  Scenario: An entry VM that has not read of a retirement stores its turns elsewhere once it is complete
    When archive "a" retires without notice to others
    And turn "t1" finishes in "a" within 200 ms
    Then turn "t1" is on 2 disks
    And archive "a" does not hold turn "t1"

  Scenario: A turn that is being written to a retiring archive is replicated before it is removed
    Given the disk of archive "a" is stalled
    When turn "t1" is sent to be stored in "a"
    And archive "a" retires while its disk is stalled for another 300 ms
    Then turn "t1" is on at least 2 disks

  Scenario Outline: A turn on one disk is replicated elsewhere while others have not read of the retirement of "<retired>"
    When archive "<retired>" retires without notice to others
    And data centre "b" is isolated
    And turn "t1" finishes in "b"
    And the isolation ends and 2000 ms pass
    Then turn "t1" is on at least 2 disks
    And archive "<retired>" does not hold turn "t1"

    Examples:
      | retired |
      | a       |
      | c       |
      | d       |

  Scenario: A turn on one disk is not called unknown while its archive retires
    Given the object API is away from all data centres but "a"
    And data centre "a" is isolated
    And 3000 ms pass
    When turn "t1" finishes in "a" within 100 ms
    And the retirement of archive "a" begins
    And 3000 ms pass
    Then reading turn "t1" in "b" fails with archive_unavailable
    When the isolation ends and 4000 ms pass
    Then the retirement is complete
    And turn "t1" is on at least 3 disks
    And a new entry VM in "b" reads the chain "t1"

  Scenario Outline: An archive that restarts once its retirement is complete stores no further turns
    When archive "a" retires without notice to others
    And archive "a" is killed
    And archive "a" <returns>
    And turn "t1" finishes in "a" within 200 ms
    Then turn "t1" is on 2 disks
    And archive "a" does not hold turn "t1"

    Examples:
      | returns                  |
      | restarts                 |
      | loses power and restarts |

  # Guards against an archive that no longer counts although its retirement cannot end.
  Scenario Outline: Budgets are served in "<place>" while a retirement cannot end since too few archives are left
    Given archives "a, b" with 2 replicas per turn
    When turn "t1" finishes in "a"
    And archive "<retired>" starts to retire
    And 3000 ms pass
    Then an attempt of a program of "a" is admitted in "<place>" within 60 ms
    And turn "t1" is on at least 2 disks

    Examples:
      | retired | place |
      | a       | a     |
      | a       | b     |
      | b       | a     |
      | b       | b     |
