Feature: Linked list
  Nodes leave from anywhere; the first is the oldest that is left.

  Scenario: The list agrees with an array
    Then for any additions and removals the linked list agrees with an array
