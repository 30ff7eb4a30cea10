Feature: Further archives are asked when some are slow
  A reply that is late because the entry VM itself has no processor time left is
  no reason to send it more of them.

  Scenario: A burst of reservations passes although each reply costs processor time
    Given an entry VM whose processor needs 2.5 ms for each message to or from 7 archives
    When 20 reservations arrive at once, then one every 32 ms for 4000 ms
    Then the reservations of the last second take at most 100 ms
    And at most 5 archives are asked for each reservation of the last second

  Scenario: A burst whose replies wait for more than half a second passes as well
    Given an entry VM whose processor needs 2.5 ms for each message to or from 7 archives
    When 30 reservations arrive at once, then one every 32 ms for 4000 ms
    Then the reservations of the last second take at most 100 ms

  Scenario: A single archive that is silent delays a reservation only a little
    Given an entry VM whose processor needs 0 ms for each message to or from 7 archives
    And the first 1 archives that are asked are silent
    When 1 reservation arrives
    Then the reservations of the last second take at most 50 ms

  Scenario: Archives of which none replies delay a reservation by half a second at most
    Given an entry VM whose processor needs 0 ms for each message to or from 9 archives
    And the first 5 archives that are asked are silent
    When 1 reservation arrives
    Then the reservations of the last second ask all archives within 510 ms
