Feature: Limits over all daemons

  Scenario: Requests in flight never exceed the limit
    Given holders and keepers of a limit in flight with nothing left out
    Then no run of 300 with faults exceeds the limit in flight

  Scenario Outline: The check of the limit in flight notices a build without <part>
    Given holders and keepers of a limit in flight with "<part>" left out
    Then some run of 1000 with faults exceeds the limit in flight

    Examples:
      | part                |
      | wait for old grants |
      | check of the expiry |
      | check of the lease  |

  Scenario: Rates never exceed the limit
    Given holders and keepers of a limit on requests a second with nothing left out
    Then no run of 200 with faults exceeds the limit on requests a second

  Scenario: The check of the rate notices a build without the wait for old grants
    Given holders and keepers of a limit on requests a second with "wait for old grants" left out
    Then some run of 300 with faults exceeds the limit on requests a second

  Scenario: Every holder gets its turn while more is wanted than there is
    Given 6 holders that each keep one request waiting for a limit of 4
    When the holders go on for 60 seconds
    Then each holder has finished at least 10 requests under the limit

  Scenario: Unused units go to the holder that needs them
    Given one holder that used the whole limit and is idle
    When another holder wants the whole limit for 20 seconds
    Then the other holder has the whole limit in use

  Scenario: A holder keeps what it has through a takeover of the keeper
    Given one holder that uses the whole limit in flight
    When the keeper is taken over and 2 seconds pass
    Then the holder of the limit still starts requests

  Scenario Outline: A limit is divided over data centres by its shares
    Given a limit of <total> with shares "<shares>"
    Then the divided limit is "<amounts>"

    Examples:
      | total | shares        | amounts |
      | 10    | 0.5 0.3 0.2   | 5 3 2   |
      | 10    | 0.25 0.25 0.5 | 3 2 5   |
      | 100   | 0.29 0.71     | 29 71   |
      | 1     | 0.5 0.5       | 1 0     |
