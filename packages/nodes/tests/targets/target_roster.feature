Feature: Targets that may get requests

  Background:
    Given a roster of targets "a, b"

  Scenario: A target that drains or leaves gets nothing more
    When the registry says that target "a" drains
    Then requests may go to "b"
    When target "b" leaves the registry
    Then requests may go to nobody

  Scenario: An entry of another writer names no target
    When the registry holds something else at "a"
    Then requests may go to "b"

  Scenario: Entries that lapse during an outage are held until they had time to come back
    When the platform comes back after 5000 ms without target "a"
    Then requests may go to "a, b"
    When the registry lists target "a" after 1500 ms
    And 3000 ms pass at the roster
    Then requests may go to "a, b"

  Scenario: An entry that does not come back is gone
    When the platform comes back after 5000 ms without target "a"
    And 2400 ms pass at the roster
    Then requests may go to "b"

  Scenario: A target that drained before an outage is not held
    When the registry says that target "a" drains
    And the platform comes back after 5000 ms without target "a"
    Then requests may go to "b"

  Scenario: An outage too short for a lapse holds nothing
    When the platform comes back after 400 ms without target "a"
    Then requests may go to "b"
