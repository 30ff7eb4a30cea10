Feature: Budgets under arbitrary faults
  Entry VMs reserve concurrently while links break, archives restart and data
  centres are isolated. The tokens that attempts may use never exceed the budget
  by more than one attempt, the bound of the users' rules.

  Scenario Outline: No history of reservations exceeds its budget with archives "<archives>"
    Then reservations of <tokens> tokens at archives "<archives>" keep to a budget of <budget> in <runs> histories

    Examples:
      | archives                           | tokens | budget | runs |
      | a, b, c, d                         | 40     | 200    | 100  |
      | a1, a2, b, c, d                    | 100    | 200    | 100  |
      | a1, a2, b, c, d                    | 40     | 200    | 100  |
      | a1, a2, b1, b2, c1, c2, d1, d2     | 40     | 200    | 100  |
      | a1, a2, a3, b1, b2, c1, c2, d1, d2 | 40     | 200    | 200  |
