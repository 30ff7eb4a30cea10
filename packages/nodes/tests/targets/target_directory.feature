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

  Scenario: A target whose entry is removed after an outage receives no requests when its drain time ends
    When the platform comes back after 10000 ms with all targets
    And 800 ms pass at the target directory
    And target "a" is removed from the registry
    Then requests may go to "a, b"
    When 1000 ms pass at the target directory
    Then requests may go to "b"

  Scenario: A target whose entry is removed late after an outage is not kept
    When the platform comes back after 10000 ms with all targets
    And 1600 ms pass at the target directory
    And target "a" is removed from the registry
    Then requests may go to "b"

  Scenario: A target whose removal a watch without its history shows after an outage is not kept longer
    When the platform comes back after 10000 ms with all targets
    And 800 ms pass at the target directory
    And a watch without its history lists the targets without target "a"
    And 1000 ms pass at the target directory
    Then requests may go to "b"

  Scenario: A target that left during an outage of this daemon alone is not used once its bounds hold again
    When the platform comes back after 5000 ms without target "a", 1500 ms after the last failed call
    And 900 ms pass at the target directory
    Then requests may go to "a, b"
    When 200 ms pass at the target directory
    Then requests may go to "b"

  Scenario: An entry that is missing since an outage is kept through another one
    When the platform comes back after 5000 ms without target "a"
    And the platform is away again for 1200 ms, and target "a" is still missing
    And 2000 ms pass at the target directory
    Then requests may go to "a, b"
    When 400 ms pass at the target directory
    Then requests may go to "b"

  Scenario: An entry that is removed between two outages is not kept through the second one
    When the platform comes back after 5000 ms with all targets
    And target "a" is removed from the registry
    And the platform is away again for 1200 ms, and target "a" is still missing
    And 400 ms pass at the target directory
    Then requests may go to "b"

  Scenario: Entries of all targets that expire during an outage are kept, whenever the last call failed
    When the platform comes back after 5000 ms without targets, 4000 ms after the last failed call
    And 2200 ms pass at the target directory
    Then requests may go to "a, b"
    When 200 ms pass at the target directory
    Then requests may go to no target

  Scenario: Entries of all targets that lapse right after an outage are kept until the targets had time to register again
    When the platform comes back after 5000 ms with all targets
    And target "a" is removed from the registry
    And target "b" is removed from the registry
    And 1900 ms pass at the target directory
    Then requests may go to "a, b"
    When 500 ms pass at the target directory
    Then requests may go to no target

  Scenario Outline: A malformed entry in place of a sound one removes its target at once, also after an outage
    When the platform comes back after 10000 ms with all targets
    And the registry entry of target "a" <is malformed>
    Then requests may go to "b"
    And one line names the object "targets/a" as ignored
    When the registry entry of target "a" <is malformed>
    Then one line names the object "targets/a" as ignored
    When target "a" is registered again after 100 ms
    Then requests may go to "a, b"
    When the registry entry of target "a" <is malformed>
    Then requests may go to "b"
    And 2 lines name the object "targets/a" as ignored

    Examples:
      | is malformed                |
      | is malformed                |
      | makes the decoder throw     |

  Scenario: A malformed entry ends the hold of its target
    When the platform comes back after 5000 ms without target "a"
    Then requests may go to "a, b"
    When the registry entry of target "a" is malformed
    Then requests may go to "b"

  Scenario: A target whose entry is malformed for a while is not lost
    When the registry entry of target "a" is malformed
    Then no target is lost
    When target "a" is registered again after 100 ms
    Then no target is lost

  Scenario: A target whose entry is malformed and then removed is lost
    When the registry entry of target "a" is malformed
    And target "a" is removed from the registry
    Then target "a" is lost

  Scenario: A target that returns with a later start after its entry was malformed is lost
    When the registry entry of target "a" is malformed
    And target "a" is registered with a later start
    Then target "a" is lost

  Scenario: The log names at most 1000 malformed entries
    When the registry entries of 5000 other targets are malformed
    Then requests may go to "a, b"
    And 1000 lines name an object as ignored
