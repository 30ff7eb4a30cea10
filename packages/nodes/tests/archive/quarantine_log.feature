Feature: Crash records on the disk of an archive

  Scenario Outline: Crash records of an archive outlive a power loss (<state>)
    Given an archive that has received <crashes> crashes of a request
    When the archive restarts after <elapsed> s
    Then the request is <state> at the archive

    Examples:
      | crashes | elapsed | state       |
      | 1       | 1       | suspect     |
      | 3       | 1       | quarantined |
      | 3       | 100     | quarantined |
      | 3       | 3600    | quarantined |
      | 3       | 90000   | free        |
      | 2       | 700     | free        |

  Scenario: A crash that is reported while the disk is full is stored once it has room
    Given an archive that has received 2 crashes of a request
    When the disk of the archive is full while another crash is reported
    And the disk of the archive has room again
    And the archive restarts after 1 s
    Then the request is quarantined at the archive

  Scenario: A crash that is reported while the disk is stalled reaches other entry VMs at once
    Given an archive that has received 2 crashes of a request
    When the disk of the archive is stalled while another crash is reported
    Then another entry VM learns of 3 crashes

  Scenario: The disk of an archive with old crash records does not grow
    Given an archive that has received 3 crashes of a request
    When 3600 s pass at the archive
    Then its disk contains at most 4 log files and 10 crash records

  Scenario Outline: Crash records of an archive that stores other entries outlive a power loss as long as they are kept in memory (<state>)
    Given an archive that has received <crashes> crashes of a request
    When <elapsed> s pass at the archive, which stores other entries
    And the archive restarts after 1 s
    Then the request is <state> at the archive

    Examples:
      | crashes | elapsed | state       |
      | 1       | 300     | suspect     |
      | 2       | 550     | suspect     |
      | 2       | 700     | free        |
      | 3       | 300     | quarantined |

  Scenario: A crash counts together with those that were reported minutes before the archive lost power
    Given an archive that has received 2 crashes of a request
    When 400 s pass at the archive, which stores other entries
    And the archive restarts after 1 s
    And another crash is reported
    Then the request is quarantined at the archive

  Scenario: The disk of an archive with old suspicions does not grow, and they expire
    Given an archive that has received 2 crashes of a request
    When 590 s pass at the archive, which stores other entries
    Then its disk contains at most 16 log files and 10 crash records
    When 210 s pass at the archive, which stores other entries
    Then its disk contains no crash records

  Scenario: An archive passes over log entries of a kind that only later builds know
    Given an archive that has received 3 crashes of a request
    When its log gets an entry of an unknown kind
    And the archive restarts after 1 s
    Then the request is quarantined at the archive
