Feature: Target directory

  Background:
    Given a target directory with targets "a, b"

  Scenario: A target that drains or is removed receives no more requests
    When target "a" is registered as draining
    Then requests may go to "b"
    When target "b" is removed from the registry
    Then requests may go to no target

  Scenario: A malformed registry entry describes no target
    When the registry entry of target "a" is malformed
    Then requests may go to "b"

  Scenario: Entries that expire during an outage are kept until the targets had time to register again
    When the platform comes back after 5000 ms without target "a"
    Then requests may go to "a, b"
    When target "a" is registered again after 1500 ms
    And 3000 ms pass at the target directory
    Then requests may go to "a, b"

  Scenario: An entry that is missing after the grace period is removed
    When the platform comes back after 5000 ms without target "a"
    And 2400 ms pass at the target directory
    Then requests may go to "b"

  Scenario: A target that drained before an outage is not kept
    When target "a" is registered as draining
    And the platform comes back after 5000 ms without target "a"
    Then requests may go to "b"

  Scenario: An outage too short for entries to expire starts no grace period
    When the platform comes back after 400 ms without target "a"
    Then requests may go to "b"
