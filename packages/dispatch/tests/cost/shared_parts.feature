Feature: Parts that many prompts begin with count as cached in part

  A prompt lists its parts as name:tokens; the last one is its own.

  Scenario Outline: Guards against <failure>
    When chains begin with the prompts "<prompts>"
    Then <expected> tokens of the prompt "<prompt>" count as cached where <known> are known to be

    Examples:
      | failure                                          | prompts                                       | prompt          | known | expected |
      | tokens cached before any chain                   | none                                          | s:1000 own:100  | 0     | 0        |
      | a part that two chains share by chance           | s:1000 a:9, s:1000 b:9                        | s:1000 own:100  | 0     | 0        |
      | a shared part counted as not cached              | s:1000 a:9, s:1000 b:9, s:1000 c:9            | s:1000 own:100  | 0     | 300      |
      | less than what is known                          | s:1000 a:9, s:1000 b:9, s:1000 c:9            | s:1000 own:100  | 1000  | 1000     |
      | the sum of what is known and what is expected    | s:1000 a:9, s:1000 b:9, s:1000 c:9            | s:1000 own:100  | 200   | 300      |
      | own parts taken for shared ones                  | s:1000 a:9, s:1000 a:9, s:1000 a:9            | a:1000          | 0     | 0        |
      | parts after one that is not cached               | s:1000 a:9, s:1000 b:9, s:1000 c:9            | x:50 s:1000 o:9 | 0     | 0        |
      | only the first of several shared parts           | s:100 t:900 a:9, s:100 t:900 b:9, s:100 t:900 c:9 | s:100 t:900 o:9 | 0 | 300      |
      | a part that one prompt repeats, taken for shared | s:1000 s:1000 s:1000 a:9                      | s:1000 own:100  | 0     | 0        |
      | a failure for an empty prompt                    | s:1000 a:9                                    | none            | 0     | 0        |

  Scenario: Guards against memory that grows with the prompts, and against the loss of the parts in use
    When chains begin with the prompts "s:1000 a:9, s:1000 b:9, s:1000 c:9"
    And 20000 chains begin with parts of their own, and every hundredth with "s:1000 d:9"
    Then 300 tokens of the prompt "s:1000 own:100" count as cached where 0 are known to be

  Scenario: Guards against parts that are kept after their last use
    When chains begin with the prompts "s:1000 a:9, s:1000 b:9, s:1000 c:9"
    And 500 chains begin with parts of their own
    Then 0 tokens of the prompt "s:1000 own:100" count as cached where 0 are known to be
