Feature: Timing model of a model engine
  Continuous batching over a prefix cache in limited memory.

  Scenario Outline: A longer cached prefix shortens the time to the first token
    Given an engine model whose cache holds <cached> of a prompt's 10 blocks
    When the engine model runs that prompt
    Then the engine model counts <cached> blocks as cached
    And the engine model's first token comes after <firstMs> ms

    Examples:
      | cached | firstMs |
      | 0      | 146     |
      | 5      | 73      |
      | 9      | 15      |

  Scenario: The cache accounts for every block of its memory under any load
    Then for any engine load used and free blocks add up to the total

  Scenario: Two runs with the same seed report the same tokens at the same times
    Then for any engine load a second run reports identical tokens and times

  Scenario: A resumed stream is not generated again
    Given an engine model that generates 40 tokens for stream "s1"
    When the listener of stream "s1" is removed after some tokens
    And stream "s1" is resumed on the engine model
    Then the engine model has run 1 generation and the answer has 40 tokens

  Scenario: Cancelling a running stream admits a waiting one
    Given an engine model that runs one stream at a time and gets "s1" and "s2"
    When stream "s1" is cancelled on the engine model
    Then stream "s2" completes on the engine model

  Scenario: Releasing a program keeps the blocks that other programs use
    Given an engine model that cached two programs with a shared prefix
    When the first program is released on the engine model
    Then the engine model keeps the shared prefix and the second program

  Scenario: Idle blocks that are never used again count as wasted
    Given an engine model whose blocks are idle for 100 ms, hit, and idle for 300 ms
    Then the engine model counts only the last 300 ms as wasted

  Scenario Outline: Cache events are delayed, lost or dropped from a full log
    Given an engine model with event lag 500 ms, gap rate <gap> and a log of <ring> events
    When the engine model stores 50 prompts one after the other
    Then before the lag has passed no event of the engine model can be read
    And after the lag has passed <share> of the engine model's events can be read

    Examples:
      | gap | ring | share |
      | 0   | 1000 | all   |
      | 0.5 | 1000 | some  |
      | 0   | 10   | ten   |
      | 1   | 1000 | none  |

  Scenario: The load report is delayed by the load lag
    Given an engine model with a load lag of 1000 ms
    When a stream starts on the engine model
    Then the engine model reports 0 running at first and 1 after the lag
