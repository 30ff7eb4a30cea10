Feature: Entry VMs that start without the object API
  They begin with what the archives among their seeds know.

  Scenario: A seed that has lost the object API long ago brings no target back that has left
    Given a seed that knows targets "a, b" at version 10
    And a seed that knows targets "b, c" at version 20
    When an entry VM starts without the object API
    Then it knows targets "b, c"

  Scenario: Seeds of an earlier build tell no versions
    Given a seed of an earlier build that knows targets "a"
    And a seed that does not reply
    When an entry VM starts without the object API
    Then it knows targets "a"
