Feature: The work of requests is learned from the runs that ended

  A run is kind:uncached tokens:ms to the first event:generated tokens, and hint=N
  if its client gave an estimate; x N repeats it.

  Scenario Outline: Guards against <failure>
    When the model learns from the runs "<runs>"
    Then the model reads a prompt token in <prefill> ms to within 1 of 100

    Examples: Time of prompt tokens
      | failure                                            | runs                                       | prefill    |
      | figures without any run                            | none                                       | 0.00625    |
      | figures learned from too few runs                  | a:1000:100:9 x 10, a:9000:900:9 x 9        | 0.00625    |
      | defaults that hold although the engines are faster | a:1000:30:9 x 100, a:9000:50:9 x 100       | 0.0025     |
      | division by zero with prompts of one length        | a:1000:30:9 x 200                          | 0.00625    |
      | division by zero with prompts that are all cached  | a:0:30:9 x 200                             | 0.00625    |
      | negative costs when long prompts ran first         | a:9000:30:9 x 100, a:1000:900:9 x 100      | 0.00125    |
      | costs without bound when engines queue             | a:1000:30:9 x 100, a:9000:99999:9 x 100    | 0.03125    |

  Scenario Outline: Guards against <failure>
    When the model learns from the runs "<runs>"
    Then the model expects <tokens> generated tokens of a request "<request>" to within 2 of 100

    Examples: Generated tokens
      | failure                                             | runs                                                        | request         | tokens |
      | no figure for an unknown kind                       | none                                                        | a               | 250    |
      | a hint that is ignored before any run               | none                                                        | a hint=40       | 40     |
      | more than the request allows, by its hint           | none                                                        | a hint=900 max=100 | 100 |
      | more than the request allows, by the learned mean   | a:9:9:800 x 50                                              | a max=100       | 100    |
      | a kind judged by too few runs                       | a:9:9:800 x 19                                              | a               | 250    |
      | kinds that share one mean                           | a:9:9:800 x 50, b:9:9:50 x 50                               | b               | 50     |
      | old runs that count for ever                        | a:9:9:800 x 500, a:9:9:50 x 300                             | a               | 50     |
      | a hint that counts in full                          | a:9:9:200:hint=100 x 50                                     | a hint=400      | 400    |
      | a hint that is ignored after the runs               | a:9:9:200:hint=100 x 50                                     | a hint=25       | 100    |
      | division by zero where no run had a hint            | a:9:9:200 x 50                                              | a hint=400      | 200    |
      | hints that count more where some runs had none      | a:9:9:200:hint=100 a:9:9:200 x 50                           | a hint=100      | 200    |
      | a negative count for a hint of 0                    | a:9:9:200:hint=100 x 50                                     | a hint=0        | 0      |

  Scenario: Guards against memory that grows with the kinds of requests
    When the model learns from 20 runs of 200 tokens of each of 5000 kinds
    Then the model expects 200 generated tokens of a request "kind-199" to within 2 of 100
    And the model expects 250 generated tokens of a request "kind-200" to within 2 of 100

  Scenario Outline: Guards against <failure> that a client states once
    When the model learns from the runs "<stated>, a:1000:30:200:hint=100 x 100, a:9000:50:200:hint=100 x 100"
    Then the model reads a prompt token in 0.0025 ms to within 1 of 100
    And the model expects 200 generated tokens of a request "a hint=100" to within 2 of 100

    Examples: Numbers of clients
      | failure                                 | stated                       |
      | a prompt whose square is no number      | a:1e308:30:200:hint=100      |
      | a prompt that outweighs thousands       | a:1e30:30:200:hint=100       |
      | an estimate that outweighs thousands    | a:1000:30:200:hint=1e308     |

  Scenario: Guards against work without bound for numbers that a client states
    When the model learns from the runs "none"
    Then the model expects 1000000 generated tokens of a request "a hint=1e308" to within 2 of 100
    And a prompt of any length and a hint of any size mean at most an hour of work for the model

  Scenario Outline: Guards against <failure>
    When the model learns from <calls> calls of <duration> ms
    Then the model expects <expected> ms for a call

    Examples: Calls to plain services
      | failure                             | calls | duration | expected |
      | no figure without a call            | 0     | 0        | 20       |
      | figures learned from too few calls  | 19    | 80       | 20       |
      | a default that holds for ever       | 20    | 80       | 80       |
      | calls that cost nothing at all      | 20    | 0        | 1        |

  Scenario: Guards against a longer prompt or answer that is taken for less work
    When the model learns from the runs "a:1000:30:200:hint=100 x 100, a:9000:50:200:hint=100 x 100"
    Then more uncached tokens and larger hints never mean less work for the model
