Feature: Quarantine of requests that kill targets

  Scenario Outline: Deaths of targets and what follows (<deaths>)
    When the quarantine hears of deaths <deaths> with the request
    Then the quarantine holds the request as <state>

    Examples:
      | deaths             | state       |
      | none               | free        |
      | a@0                | suspect     |
      | a@0 b@1            | quarantined |
      | a@0 a@1            | suspect     |
      | a@0 a@60000        | quarantined |
      | a@0 survived       | free        |
      | a@0 survived b@1   | suspect     |
      | a@0 b@1 survived   | quarantined |
      | a@0 b@1 lifted     | free        |
      | a@0 b@1 lifted c@2 | suspect     |

  Scenario: The request that kills is quarantined after its second death
    Given any load with one killing request that is sent again and again
    Then the quarantine lets the killing request kill exactly 2 targets
    And the quarantine catches no innocent request

  Scenario: Daemons agree in whatever order they hear of each other
    Given any entries of quarantines of three daemons
    Then merging the quarantines gives the same in any order and repetition

  Scenario: Two daemons that see one death count it once
    When two quarantines hear of one death and then of each other
    Then the quarantine holds the request as suspect

  Scenario Outline: What is told to other daemons, and for how long (<deaths>)
    When the quarantine hears of deaths <deaths> with the request
    And <minutes> minutes go by in the quarantine and another request is noted
    Then the quarantine tells of the request <told> and holds it as <state>

    Examples:
      | deaths         | minutes | told  | state       |
      | a@0            | 0       | yes   | suspect     |
      | a@0            | 2       | no    | suspect     |
      | a@0            | 11      | no    | free        |
      | a@0 survived   | 0       | yes   | free        |
      | a@0 survived   | 2       | no    | free        |
      | a@0 b@1        | 600     | yes   | quarantined |

  Scenario Outline: Few innocent requests are caught over several daemons (<daemons>)
    When <runs> requests kill targets that <daemons> daemons share, each with a window of <window> on <targets> targets
    Then the quarantines catch all the killing ones and at most <innocents> innocent requests

    Examples:
      | daemons | window | targets | runs | innocents |
      | 1       | 8      | 4       | 30   | 0         |
      | 4       | 8      | 4       | 30   | 6         |
      | 8       | 4      | 12      | 10   | 1         |
