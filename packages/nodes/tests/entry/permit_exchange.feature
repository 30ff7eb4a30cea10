Feature: Permits hold the limits of targets over any number of entry VMs

  Scenario Outline: The entry VMs together send limited targets no more than they state
    Given <count> entry VMs of a fleet before <targets> targets, <limited> of them limited to <limit> requests a second
    When the fleet receives <rate> requests a second for 20 s
    Then no limited target of the fleet received more than its limit allows in any 4 s
    And <served> of 100 requests of the fleet were sent at least

    Examples:
      | count | targets | limited | limit | rate | served |
      | 8     | 10      | 7       | 1.4   | 30   | 100    |
      | 8     | 4       | 4       | 3     | 10   | 95     |
      | 8     | 4       | 4       | 3     | 40   | 25     |
      | 60    | 10      | 10      | 1.4   | 60   | 15     |
      | 170   | 44      | 30      | 0.5   | 90   | 100    |
      | 170   | 6       | 6       | 8     | 200  | 18     |

  Scenario Outline: Limits hold while <fault>
    Given <count> entry VMs of a fleet before 6 targets, 6 of them limited to <limit> requests a second
    And in the fleet, <fault> from 5 to 12 s
    When the fleet receives 60 requests a second for 20 s
    Then no limited target of the fleet received more than its limit allows in any 4 s

    Examples:
      | count | limit | fault                                              |
      | 8     | 2     | the first half cannot reach the second             |
      | 60    | 6     | the first half cannot reach the second             |
      | 8     | 2     | the first three do not reply                       |
      | 170   | 1.4   | the first half restart in turn                     |
      | 8     | 5     | the first half restart in turn                     |
      | 8     | 2     | the first half freeze                              |
      | 60    | 1.4   | the first half freeze                              |
      | 8     | 2     | the wall clocks of the first half step             |

  Scenario Outline: A limit that changes is kept by all entry VMs within a second
    Given <count> entry VMs of a fleet before 6 targets, 6 of them limited to <before> requests a second
    And in the fleet, the limits change to <after> requests a second after 8 s
    When the fleet receives 60 requests a second for 20 s
    Then no limited target of the fleet received more than <after> a second allow in any 4 s from 9 s on

    Examples:
      | count | before | after |
      | 8     | 6      | 1.5   |
      | 60    | 6      | 1.5   |
      | 8     | 1.5    | 6     |

  Scenario Outline: Targets are in full use again soon after their limits end
    Given <count> entry VMs of a fleet before 6 targets, 6 of them limited to 0.5 requests a second
    And in the fleet, the limits end after 8 s
    When the fleet receives 60 requests a second for 20 s
    Then every request of the fleet after 13 s was sent without delay

    Examples:
      | count |
      | 8     |
      | 60    |

  Scenario: A target that restarts has no limit until it states one
    Given 8 entry VMs of a fleet before 2 targets, 2 of them limited to 1 requests a second
    And in the fleet, the targets restart without a limit after 8 s
    When the fleet receives 30 requests a second for 14 s
    Then every request of the fleet after 8.5 s was sent without delay

  Scenario: What cannot be sent before its deadline is rejected at once, with a delay that follows the limit
    Given 8 entry VMs of a fleet before 2 targets, 2 of them limited to 1 requests a second
    When the fleet receives 20 requests a second for 20 s
    Then the rejected requests of the fleet waited 300 ms on average at most
    And the retry delay of the rejected requests of the fleet is 500 ms on average at least
