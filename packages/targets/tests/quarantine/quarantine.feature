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
