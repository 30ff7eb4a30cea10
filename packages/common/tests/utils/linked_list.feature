Feature: Linked list
  Nodes are removed from any position; the first is the oldest remaining one.

  Scenario: The list behaves like an array
    Then for any additions and removals the linked list matches an array
