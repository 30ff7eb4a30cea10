Feature: Cache holds of the scheduler
  Cache is held while the expected saving exceeds its cost, and never after the program ends.

  Scenario: A program's cache is released on every target when the program ends
    Given a scheduler that ran a program on two targets
    When that program ends
    Then the scheduler releases the program on each target exactly once

  Scenario Outline: A higher cache weight shortens the hold
    Given a scheduler with cache weight <weight> that observed pauses of 10 s
    When a program pauses
    Then the scheduler releases its cache after <least> to <most> s

    Examples:
      | weight | least | most  |
      | 1      | 0     | 0     |
      | 0.95   | 10    | 60    |
      | 0.01   | 60    | 20000 |

  Scenario: Cache of a paused program moves from a target that closes
    Given a scheduler that ran a program on one of two targets
    When that target closes
    Then the scheduler moves the program's cache to the other target
