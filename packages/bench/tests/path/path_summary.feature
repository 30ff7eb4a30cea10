Feature: Path measurement and its summary

  Scenario: Ratios are formed within each round
    Given a path measurement whose rounds took, in milliseconds
      | direct | relay | path |
      | 1      | 2     | 4    |
      | 1      | 3     | 9    |
      | 2      | 4     | 4    |
    When the path measurement is summarized
    Then its path to relay ratio is 2 at the median, 1 at least and 3 at most
    And its path to direct ratio is 4 at the median, 2 at least and 9 at most

  Scenario: Every route serves requests over sockets
    When the path is measured in one small round
    Then each route of the path measurement has figures above 0
    And a plain request of the path measurement took at least 1 platform write
