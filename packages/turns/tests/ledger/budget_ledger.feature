Feature: Budget ledger

  Scenario: Ledgers of several archives merge to the same result in any order
    Then a ledger has the same total after merges in any order, and includes every settled token

  Scenario: Reserved and used tokens do not exceed the budget
    Then no sequence of reservations and settlements exceeds the budget of a ledger
