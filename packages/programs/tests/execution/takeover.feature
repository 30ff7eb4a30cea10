Feature: Takeover of a partition

  Scenario: A successor knows the history of a program
    Given a holder of a partition whose program had two turns
    When another daemon takes the partition over
    Then the successor has the program's history, and its next turn follows

  Scenario: A finished call is replayed by the successor
    Given a holder of a partition whose program had two turns
    When another daemon takes the partition over
    Then a re-sent call gets its first answer from the successor

  Scenario Outline: A booking runs at most once when its holder dies <step>
    Given a holder of a partition that dies <step> of a booking
    When another daemon takes the partition over
    Then the re-sent booking <result>

    Examples:
      | step                       | result                           |
      | after the admission        | runs at the successor            |
      | after the intent           | is refused as unknown            |
      | after the target's answer  | is refused as unknown            |
      | after the turn's commit    | gets its answer without a run    |

  Scenario Outline: A paused holder that resumes after a takeover <step> is fenced
    Given a holder of a partition that is paused <step> of a booking
    When another daemon takes the partition over
    Then the resumed holder's next step fails with fenced
    And the re-sent booking <result>

    Examples:
      | step                       | result                           |
      | after the admission        | runs at the successor            |
      | after the intent           | is refused as unknown            |

  Scenario: A successor resumes a running chat with the same stream
    Given a holder of a partition that dies while a long chat streams
    When another daemon takes the partition over
    Then the successor recovers the chat, its target and its stream

  Scenario: A reservation left open by a crash counts as used
    Given a holder of a partition that dies while a long chat streams
    When another daemon takes the partition over
    Then the successor counts at least the chat's worst case

  Scenario Outline: A partition is closed for its next holder while <call> runs
    Given a holder of a partition where <call> runs
    When the holder closes the partition for its next holder
    Then the next holder <result>

    Examples:
      | call      | result                                              |
      | a chat    | picks the chat up with nothing counted as lost      |
      | a booking | finds the booking answered, since the close waited  |
