Feature: Reservations that are requested again
  An attempt asks again when an archive did not reply in time.

  Scenario: A repeated reservation is granted only once it is synced
    Given archives "a, b" with 2 replicas per turn
    And the disk of archive "a" is stalled
    When the reservation of an attempt is requested from archive "a" and again after 450 ms
    And 100 ms pass
    Then archive "a" has granted it 0 times
    When the stall of archive "a" ends
    Then archive "a" has granted it 2 times
