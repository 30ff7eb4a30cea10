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
