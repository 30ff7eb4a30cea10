Feature: Quarantine of requests that kill targets

  Scenario Outline: Deaths determine whether a request is suspect or quarantined (<deaths>)
    When the quarantine hears of deaths <deaths> with the request
    Then the quarantine holds the request as <state>

    Examples:
      | deaths             | state       |
      | none               | free        |
      | a@0                | suspect     |
      | a@0 b@1            | quarantined |
      | a@0 a@1            | suspect     |
      | a@0 a@60000        | quarantined |
      | a@0 a@5000         | suspect     |
      | a@0 a@5000 a@10000 | quarantined |
      | a@0 survived       | free        |
      | a@0 survived b@1   | suspect     |
      | a@0 b@1 survived   | quarantined |
      | a@0 b@1 lifted     | free        |
      | a@0 b@1 lifted c@2 | suspect     |

  Scenario: The request that kills is quarantined after its second death
    Given any load with one killing request that is sent repeatedly
    Then the quarantine lets the killing request kill exactly 2 targets
    And the quarantine holds no innocent request

  Scenario: Daemons converge independently of the order of merges
    Given any quarantine entries of three daemons
    Then merging the entries is commutative and idempotent

  Scenario: A death that two daemons detect counts once
    When two quarantines record one death and then merge
    Then the quarantine holds the request as suspect

  Scenario: A completion at a daemon that has not heard of the last death does not lift a quarantine
    When a request completes at a daemon that has heard of its first death only
    Then both daemons hold the request as quarantined in the end

  Scenario Outline: Entries are announced and kept for a limited time (<deaths>)
    When the quarantine hears of deaths <deaths> with the request
    And <minutes> minutes pass in the quarantine and another death is recorded
    Then the quarantine tells of the request <told> and holds it as <state>

    Examples:
      | deaths         | minutes | told  | state       |
      | a@0            | 0       | yes   | suspect     |
      | a@0            | 2       | no    | suspect     |
      | a@0            | 11      | no    | free        |
      | a@0 survived   | 0       | yes   | free        |
      | a@0 survived   | 2       | no    | free        |
      | a@0 b@1        | 600     | yes   | quarantined |

  Scenario Outline: Few innocent requests are quarantined by several daemons (<daemons>)
    When <runs> requests kill targets that <daemons> daemons share, each with a window of <window> on <targets> targets
    Then the quarantines hold all killing and at most <innocents> innocent requests

    Examples:
      | daemons | window | targets | runs | innocents |
      | 1       | 8      | 4       | 30   | 0         |
      | 4       | 8      | 4       | 30   | 6         |
      | 8       | 4      | 12      | 10   | 1         |
