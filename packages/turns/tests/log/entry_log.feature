Feature: Entry log of an archive
  Acknowledged entries survive any power loss.

  Scenario Outline: Acknowledged entries survive a power loss that leaves unsynced bytes <loss>
    Given an entry log with entries "a, b, c" acknowledged
    And an entry "d" that is written but not synced
    When the log's disk loses power and unsynced bytes are <loss>
    Then the reopened log contains at least "a, b, c" in order, and only written entries

    Examples:
      | loss    |
      | missing |
      | torn    |
      | zeroed  |
      | kept    |

  Scenario: Entries that a reopened log contains survive a power loss
    Given an entry log with entries "a, b" acknowledged
    And an entry "c" that is written but not synced
    Then the reopened log contains exactly "a, b, c"
    When the log's disk loses power and unsynced bytes are missing
    Then the reopened log contains exactly "a, b, c"

  Scenario: Entries of any size are recovered from a real disk
    Given an entry log on a real disk
    When 60 entries of arbitrary sizes are appended concurrently
    Then the reopened log contains all of them in order
    And each of them can be read by its position

  Scenario: A full disk rejects entries and loses no acknowledged ones
    Given an entry log with entries "a" acknowledged
    When the log's disk is full and entry "b" is appended
    Then the append fails with archive_unavailable
    When the log's disk has room again and entry "c" is appended
    Then the reopened log contains exactly "a, c"

  Scenario: Entries appended during a stalled sync share the next sync
    Given an entry log with entries "a" acknowledged
    When the log's disk stalls while entries "b, c, d" are appended
    Then none of them is acknowledged
    When the stall of the log's disk ends
    Then the reopened log contains exactly "a, b, c, d"

  Scenario: A closed log writes no further file
    Given an entry log with entries "a" acknowledged
    When the log is closed and entry "b" is appended
    Then the append fails with archive_unavailable
    And the reopened log contains exactly "a"

  Scenario: An empty disk gets a persistent identity
    Given an empty disk for a log
    Then the disk's identity is the same after each restart
    And another empty disk gets a different identity
