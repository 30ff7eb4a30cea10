Feature: Log of an archive
  What was acknowledged is there after any loss of power.

  Scenario Outline: Acknowledged entries outlive a power loss that leaves unsynced bytes <loss>
    Given an entry log with entries "a, b, c" acknowledged
    And an entry "d" that the disk has taken but not synced
    When the power of the log's disk goes and unsynced bytes are <loss>
    Then the reopened log holds at least "a, b, c" in order, and nothing that was not written

    Examples:
      | loss    |
      | missing |
      | torn    |
      | zeroed  |
      | kept    |

  Scenario: Entries of any size come back, also over a real disk
    Given an entry log on a real disk
    When 60 entries of arbitrary sizes are appended at once
    Then the reopened log holds all of them in order
    And each of them can be read by its position

  Scenario: A full disk refuses entries and loses none
    Given an entry log with entries "a" acknowledged
    When the log's disk is full and entry "b" is appended
    Then the append fails with archive_unavailable
    When the log's disk has room again and entry "c" is appended
    Then the reopened log holds exactly "a, c"

  Scenario: A stalled sync delays entries, and those that wait share the next one
    Given an entry log with entries "a" acknowledged
    When the log's disk stalls while entries "b, c, d" are appended
    Then none of them is acknowledged
    When the stall of the log's disk ends
    Then the reopened log holds exactly "a, b, c, d"

  Scenario: An empty disk gets an identity, and keeps it
    Given an empty disk for a log
    Then the disk's identity is the same at each start
    And another empty disk has another identity
