Feature: What was acknowledged under arbitrary faults and the loss of a disk
  Data centres are isolated, links break, archives stop, hang and return, and the
  object API goes away. One disk is lost with the memory of all entry VMs, at
  times with all power, while these faults go on; another one only after the
  archives have caught up.

  Scenario Outline: No history loses a finished turn or exceeds a budget with archives "<archives>"
    Then finished turns at archives "<archives>" are known and keep to a budget of <budget> in <runs> histories

    Examples:
      | archives               | budget | runs |
      | a, b, c                | 2000   | 100  |
      | a, b, c, d             | 2000   | 100  |
      | a1, a2, b1, b2, c1, c2 | 2000   | 100  |
      | a, b, c                | 200    | 100  |
      | a, b, c, d             | 200    | 100  |
      | a1, a2, b1, b2, c1, c2 | 200    | 100  |
