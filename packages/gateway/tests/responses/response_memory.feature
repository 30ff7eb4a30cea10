Feature: Responses share the memory of a process without being cut

  Scenario: Any mix of responses that fit ends, and endless ones are ended
    Then in any mix of responses of a memory of 1 MiB, each that fits is whole and no other holds memory at the end

  Scenario Outline: A response of <size> bytes <result> while eight others hold <held> bytes each of 1 MiB
    Given a memory of 1048576 bytes
    And 8 responses of unknown length that hold <held> bytes
    When a response of <kind> length asks for <size> bytes
    Then it <result>
    And once one of the others has ended, it has its memory

    Examples:
      | held   | kind    | size   | result |
      | 100000 | known   | 16384  | is held |
      | 100000 | unknown | 16384  | is held |
      | 100000 | known   | 60000  | is held |
      | 110000 | known   | 60000  | waits   |
      | 110000 | unknown | 60000  | waits   |
      | 105000 | known   | 131072 | waits   |
      | 90000  | known   | 131072 | is held |

  Scenario: The largest response never waits for the others
    Given a memory of 1048576 bytes
    And 8 responses of unknown length that hold 110000 bytes
    When a response of known length asks for 131072 bytes
    And the largest of the others grows to 131072 bytes
    Then that one is held

  Scenario: A response that exceeds its share is too large
    Given a memory of 1048576 bytes
    When a response of unknown length asks for 131073 bytes
    Then it is too large

  Scenario: Calls are rejected while many responses wait for memory
    Given a memory of 1048576 bytes
    And 8 responses of unknown length that hold 110000 bytes
    When 3 responses of known length wait for 131072 bytes
    Then the memory is full
    And it is not full once those that wait have ended
