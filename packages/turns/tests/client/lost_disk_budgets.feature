Feature: Budgets of a few attempts beside the loss of a disk
  Few disks have recorded what a program has spent when one of them is lost with
  the memory of all entry VMs and others of them stop.

  Scenario Outline: No history exceeds a budget with archives "<archives>"
    Then budgets of a few attempts at archives "<archives>" are kept in <runs> histories

    Examples:
      | archives               | runs |
      | a, b, c                | 150  |
      | a1, a2, b, c           | 150  |
      | a, b, c, d, e          | 150  |
      | a1, a2, b1, b2, c1, c2 | 150  |
