Feature: Ledger of budgets

  Scenario: Ledgers of several archives can be merged in any order
    Then a ledger holds the same after any order of merges, and never less than was used

  Scenario: Reserved and used tokens stay within the budget
    Then no order of reservations and settlements exceeds the budget of a ledger
