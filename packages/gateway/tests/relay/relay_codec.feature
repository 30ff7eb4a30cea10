Feature: Headers with which one entry VM relays a request for another

  Scenario: Headers that a later build adds to the relay do not reach targets
    When a relayed request has headers of a later build
    Then only the headers of the client are left

  Scenario Outline: A refusal to relay is understood by <reader>
    When an entry VM of <sender> refuses to relay to a leaving target
    Then <reader> reads that the request was not sent and that the relay is sound
    And <reader> reads that the target is <state>

    Examples:
      | sender            | reader            | state       |
      | the current build | the current build | leaving     |
      | the current build | an earlier build  | not leaving |
      | an earlier build  | the current build | not leaving |
      | a later build     | the current build | leaving     |

  Scenario Outline: A relayed request whose time-out is "<time-out>" has <decoded>
    When a relayed request states the time-out "<time-out>"
    Then it is decoded with <decoded>

    Examples:
      | time-out   | decoded    |
      | 100        | 100 ms     |
      | 1e300      | 2147483647 ms |
      | Infinity   | 2147483647 ms |
      | 0          | no parameters |
      | -1         | no parameters |
      | soon       | no parameters |
