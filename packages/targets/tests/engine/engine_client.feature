Feature: Engine client
  The in-memory engine and the HTTP client fulfil the same contract.

  Scenario Outline: A complete answer arrives in order (<transport>)
    Given an engine over <transport>
    When a client reads the engine's stream
    Then the engine's reader got 40 tokens in order and an end
    And the engine saw 1 complete generation

    Examples:
      | transport |
      | memory    |
      | socket    |

  Scenario Outline: A stream resumes at its offset (<transport>)
    Given an engine over <transport>
    When a client reads 15 tokens of the engine's stream and disconnects
    And a client resumes the engine's stream at 15
    Then both readings of the engine form one answer of 40 tokens
    And the engine saw 1 complete generation

    Examples:
      | transport |
      | memory    |
      | socket    |

  Scenario Outline: An answer continues at another engine (<transport>)
    Given an engine over <transport>
    When a client asks the engine to continue after 10 tokens of an answer prefix
    Then the engine's reader got the tokens from 10 to 39 and an end

    Examples:
      | transport |
      | memory    |
      | socket    |

  Scenario Outline: An answer prefix that reaches the token limit ends immediately (<transport>)
    Given an engine over <transport>
    When a client asks the engine to continue after 40 tokens of an answer prefix
    Then the engine's reader got the tokens from 40 to 39 and an end

    Examples:
      | transport |
      | memory    |
      | socket    |

  Scenario Outline: A program's cache is copied to another engine (<transport>)
    Given an engine over <transport>
    When a client reads the engine's stream
    And the program's cache is copied to a second engine over <transport>
    Then the second engine finds the prompt of the program in its cache

    Examples:
      | transport |
      | memory    |
      | socket    |

  Scenario Outline: A fault of a stream gives its error and outcome (<fault>, <transport>)
    Given an engine over <transport>
    And the engine will <fault>
    When a client reads the engine's stream
    Then the engine's reader got at most <tokens> tokens and the error <kind> with outcome <outcome>

    Examples:
      | fault                   | transport | tokens | kind             | outcome |
      | truncate after 7 tokens | memory    | 7      | stream_truncated | unknown |
      | truncate after 7 tokens | socket    | 7      | stream_truncated | unknown |
      | die after 7 tokens      | memory    | 7      | stream_truncated | unknown |
      | die after 7 tokens      | socket    | 7      | stream_truncated | unknown |
      | crash on the content    | memory    | 0      | target_failed    | unknown |
      | crash on the content    | socket    | 0      | target_failed    | unknown |
      | refuse the model        | memory    | 0      | target_failed    | not_run |
      | refuse the model        | socket    | 0      | target_failed    | not_run |
      | be down                 | memory    | 0      | target_failed    | not_run |
      | be down                 | socket    | 0      | target_failed    | not_run |

  Scenario Outline: A request to an engine that hangs times out (<transport>)
    Given an engine over <transport>
    When the engine hangs while a client reads its stream
    Then the engine's reader got the error target_timeout

    Examples:
      | transport |
      | memory    |
      | socket    |

  Scenario Outline: A restarted engine does not resume an earlier stream (<transport>)
    Given an engine over <transport>
    When a client reads 15 tokens of the engine's stream and disconnects
    And the engine dies and restarts
    And a client resumes the engine's stream at 15
    Then the engine's reader got at most 0 tokens and the error target_failed with outcome not_run

    Examples:
      | transport |
      | memory    |
      | socket    |

  Scenario Outline: Cancellation, cache events and cache release (<transport>)
    Given an engine over <transport>
    When a client reads 15 tokens of the engine's stream and disconnects
    And a client cancels the engine's stream and an unknown one
    Then the engine saw 1 cancelled generation
    And the engine's cache events report stored blocks
    And releasing the program at the engine empties its cache

    Examples:
      | transport |
      | memory    |
      | socket    |

  Scenario Outline: An engine that checks fencing numbers rejects outdated orders (<checks>, <transport>)
    Given an engine over <transport> that <checks> fencing numbers
    When the engine gets orders with the fencing numbers 5, 4 and 6
    Then the engine executed the orders <carried>

    Examples:
      | checks  | transport | carried |
      | checks  | memory    | 5,6     |
      | checks  | socket    | 5,6     |
      | ignores | memory    | 5,4,6   |
      | ignores | socket    | 5,4,6   |

  Scenario Outline: A stream with missing or malformed events fails as truncated (<stream>)
    Given an engine that sends the raw stream <stream>
    When a client reads the raw stream
    Then the raw stream's reader got <texts> and the error <kind>

    Examples:
      | stream           | texts | kind             |
      | 0a 1b end2       | ab    | none             |
      | 0a 0a 1b end2    | ab    | none             |
      | 0a 1b            | ab    | stream_truncated |
      | 0a 2c end3       | a     | stream_truncated |
      | 0a end2          | a     | stream_truncated |
      | 0a bad 1b end2   | a     | stream_truncated |
      | 0a endless       | a     | stream_truncated |
