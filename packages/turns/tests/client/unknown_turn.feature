Feature: Turns that are unknown, and those that only seem so
  Unknown is final for a caller, so a stored turn must never be called unknown.

  Background:
    Given archives "a, b, c, d" with 2 replicas per turn

  Scenario: A turn on archives that an entry VM has not read of is not called unknown
    When turn "t1" finishes in "a"
    And entry VMs in "e" have not read of the archives with turn "t1"
    Then reading turn "t1" in "e" fails with archive_unavailable
    When entry VMs in "e" have read of all archives
    Then a new entry VM in "e" reads the chain "t1"

  Scenario: No turn is called unknown while the list of archives cannot be confirmed
    Given the object API is away
    Then reading turn "none" in "a" fails with archive_unavailable
    When the object API is back
    Then reading turn "none" in "a" fails with unknown_turn

  Scenario: No turn is called unknown while an archive's registration is malformed
    Given the registration of another archive is malformed
    Then reading turn "none" in "a" fails with archive_unavailable

  Scenario: Requests for unknown turns that come together share the calls to the object API
    When 100 turns that nobody has stored are read at a time in "a"
    Then all of them are called unknown within 500 ms
    And the registrations were read at most 2 times

  # Guards against stored turns that are rejected while their archives restart.
  Scenario: Reading a turn waits while the archives that store it restart
    When turn "t1" finishes in "a"
    And the archives with turn "t1" are down for 900 ms
    Then turn "t1" is read in "e" by a call that may wait for 1250 ms

  Scenario: Reading a turn does not wait for archives that have been away for long
    When turn "t1" finishes in "a"
    And the archives with turn "t1" are down for 9000 ms
    Then reading turn "t1" in "e" by a call that may wait for 1250 ms fails with archive_unavailable within 1700 ms
    When 3000 ms pass
    Then reading turn "t1" in "e" by a call that may wait for 1250 ms fails with archive_unavailable within 100 ms
