Feature: Retirement of an archive, and the loss of a disk
  The removal of a retired archive is no loss: one more disk may be lost with it,
  together with the memory of all entry VMs.

  Background:
    Given archives "a, b, c" with 2 replicas per turn

  # Guards against an archive that leaves the list with one of the two copies of a turn.
  Scenario Outline: A turn that finishes <after> ms into a retirement is known without the retiring archive and disk "<lost>"
    When turn "t0" finishes in "a"
    And archive "a" starts to retire
    And <after> ms pass
    And turn "t1" finishes in "a"
    And 100 ms pass
    And all archives lose power, "<lost>" loses its disk, and all but "a" restart
    And 3000 ms pass
    Then turn "t1" is not called unknown in "b"
    When archive "a" restarts and retires
    And 3000 ms pass
    Then a new entry VM in "b" reads the chain "t1"

    Examples:
      | after | lost |
      | 460   | b    |
      | 460   | c    |
      | 500   | b    |
      | 500   | c    |
      | 520   | c    |
      | 540   | b    |
      | 540   | c    |
      | 560   | c    |
      | 580   | b    |
      | 580   | c    |
      | 620   | b    |
      | 620   | c    |
