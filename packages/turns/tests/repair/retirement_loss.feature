Feature: Retirement of an archive, and the loss of a disk
  The removal of a retired archive is no loss: one more disk may be lost with it,
  together with the memory of all entry VMs.

  Background:
    Given archives "a, b, c" with 2 replicas per turn

  # Guards against reservations that stood on the disk of the retired archive and on the one that is lost.
  Scenario: A budget holds after a retirement and the loss of a disk
    When 4 attempts of 50 tokens of a program of "a" reserve from a budget of 200 one after the other, some in vain, alternating over "a"
    Then at least 4 attempts hold a reservation
    When all entry VMs are killed
    And archive "a" retires within 4000 ms and is removed
    And 5000 ms pass
    And archive "c" restarts on an empty disk
    And 5000 ms pass
    And 4 further attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "b"
    Then at most 0 attempts hold a reservation

  # Guards against a new archive that counts although the ones that know of a budget are gone or away.
  Scenario: A budget holds after a retirement while another archive is away and a new one joins
    When 4 attempts of 50 tokens of a program of "a" reserve from a budget of 200 one after the other, some in vain, alternating over "a"
    Then at least 4 attempts hold a reservation
    When all entry VMs are killed
    And archive "a" retires within 4000 ms and is removed
    And archive "c" is killed
    And archive "a2" is added
    And 3000 ms pass
    And 4 further attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "b"
    Then at most 0 attempts hold a reservation

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
