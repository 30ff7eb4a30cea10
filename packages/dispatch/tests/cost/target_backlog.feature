Feature: The work that a target has left is known

  Scenario Outline: Guards against <failure>
    When a backlog sees "<events>"
    Then the backlog has <left> ms left

    Examples:
      | failure                                            | events                                          | left |
      | work without requests                              | none                                            | 0    |
      | only the last request counted                      | add a 100, add b 50                             | 150  |
      | work that does not decrease as time passes         | add a 100, wait 40                              | 60   |
      | a long request that counts as done while it runs   | add a 100, wait 5000                            | 10   |
      | a long request whose lateness is taken from others | add a 100, wait 5000, add b 50                  | 60   |
      | work of a request that has ended                   | add a 100, add b 50, remove a                   | 50   |
      | work taken off twice for one request               | add a 100, add b 50, remove a, remove a         | 50   |
      | equal requests taken for one                       | add a 100, add b 100, remove a                  | 100  |
      | work left after all clients have gone              | add a 100, wait 900, add b 5, remove b, remove a | 0    |
