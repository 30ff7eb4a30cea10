Feature: Durability of ledger entries

  Background:
    Given archives "a" with 2 replicas per turn
    And the disk of archive "a" is full

  Scenario: A settlement that an archive could not write is not acknowledged when it is sent again
    Then archive "a" acknowledges no settlement, sent 2 times
    When the disk of archive "a" has room again
    Then archive "a" acknowledges the settlement
    And archive "a" has it after a power loss

  Scenario: A reservation that an archive could not write is not granted when it is requested again
    Then archive "a" grants no reservation, requested 2 times
    When the disk of archive "a" has room again
    Then archive "a" grants the reservation
    And archive "a" has it after a power loss
