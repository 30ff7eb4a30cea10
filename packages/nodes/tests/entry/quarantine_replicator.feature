Feature: Crash records that entry VMs read from the object API

  Scenario Outline: Old records of other processes are ignored when they decide nothing (<records>)
    When an entry VM reads crash records <records> of a request
    Then it holds the request as <state>

    Examples: ages in minutes; a request with three crashes is quarantined
      | records      | state       |
      | 1            | suspect     |
      | 11           | free        |
      | 11 1         | suspect     |
      | 11 11 1      | quarantined |
      | 60 60 60     | quarantined |
      | 1500         | free        |
      | 1500 1500 60 | quarantined |
      | 1500 1500 1500 | free      |

  Scenario: A batch of crash records takes few log lines, those of quarantined requests first
    When an entry VM reads crash records of 100 suspect requests and then of a quarantined one
    Then it logs at most 8 merged records, with 93 omitted
    And the first of them is of the quarantined request

  Scenario Outline: Crash records that this build cannot read do not hide the others (<unreadable>)
    When an entry VM reads <unreadable> beside the crash records of a quarantined request
    Then it holds the request as quarantined

    Examples:
      | unreadable                  |
      | an entry of another format  |
      | an object of another format |
      | an object that is no JSON   |
