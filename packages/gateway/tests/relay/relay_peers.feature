Feature: Choice of the entry VM that relays a request

  Scenario Outline: The entry VMs that still have their links share the load
    Given <count> entry VMs of which <cut> have lost their links
    When 2000 requests of the first one are relayed over 20 s
    Then at least <served> of 100 are relayed at the first or second try, after the first second
    And no entry VM relays more than <most> times the mean of those that can

    Examples:
      | count | cut | served | most |
      | 8     | 5   | 95     | 2    |
      | 8     | 7   | 95     | 2    |
      | 60    | 20  | 90     | 3    |
      | 170   | 100 | 80     | 4    |

  Scenario: A proven entry VM is not passed over because a target is down
    Given 2 entry VMs of which 1 have lost their links
    When the other one has relayed a request and then does not reach a target
    Then the other one is chosen again
