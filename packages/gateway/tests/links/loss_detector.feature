Feature: Only what is found in a silence ends a response

  Scenario Outline: A response goes on after its target neither read nor accepted for <silence> ms, and another entry VM reached it <reach> ms after that
    Given a target that neither reads nor accepts from 0 to <silence> ms
    And its next bytes come <pause> ms after that
    And another entry VM asks for it at <asked> ms, and reaches it <reach> ms after that
    Then the response is not ended

    Examples:
      | silence | asked | reach | pause |
      | 900     | 800   | 5     | 400   |
      | 990     | 800   | 5     | 300   |
      | 1300    | 1200  | 0     | 400   |
      | 1900    | 1800  | 5     | 400   |

  Scenario Outline: A response goes on after its target neither read nor accepted for <silence> ms, and no other entry VM reached it
    Given a target that neither reads nor accepts from 0 to <silence> ms
    And its next bytes come <pause> ms after that
    And another entry VM does not reach it at 800 ms
    Then the response is not ended

    Examples:
      | silence | pause |
      | 900     | 1500  |
      | 1300    | 1300  |
      | 1900    | 800   |

  Scenario: A response goes on although its link counted as cut when its target fell silent
    Given a target that neither reads nor accepts from 0 to 1300 ms
    And its next bytes come 100 ms after that
    And another entry VM reached it -100 ms after a connection to it had failed
    Then the response is not ended

  Scenario: A response over a cut link ends as fast as the cut is known
    Given a target that neither reads nor accepts from 0 to 9000 ms
    And another entry VM asks for it at 650 ms, and reaches it at 700 ms
    Then the response ends within 1000 to 1250 ms

  Scenario: A response over a link that is found cut after a second ends at once
    Given a target that neither reads nor accepts from 0 to 9000 ms
    And another entry VM asks for it at 650 ms, and reaches it at 1100 ms
    Then the response ends within 1250 to 1500 ms

  Scenario: A response of a target that is gone ends
    Given a target that neither reads nor accepts from 0 to 9000 ms
    And another entry VM does not reach it at 800 ms
    Then the response ends within 2000 to 2250 ms

  Scenario: A response of a target that is gone ends as fast while other requests ask for it
    Given a target that neither reads nor accepts from 0 to 9000 ms
    And another entry VM does not reach it at 700 ms
    And another entry VM does not reach it at 1750 ms
    Then the response ends within 2000 to 2250 ms

  Scenario Outline: A relayed response goes on after its entry VM accepted no connection for <silence> ms
    Given a relaying entry VM that neither reads nor accepts from 0 to <silence> ms
    And its next bytes come <pause> ms after that
    Then the response is not ended

    Examples:
      | silence | pause |
      | 900     | 1300  |
      | 1300    | 1000  |
      | 1900    | 400   |

  Scenario: A relayed response ends when its entry VM is gone
    Given a relaying entry VM that neither reads nor accepts from 0 to 9000 ms
    Then the response ends within 2000 to 2250 ms
