Feature: Membership by heartbeats

  Scenario Outline: <daemons> daemons in <zones> data centres find each other
    Given a fleet of <daemons> daemons in <zones> data centres of which <listed> are on the VM list
    When the fleet runs for <intervals> heartbeat intervals
    Then every daemon knows every other with its partition

    Examples:
      | daemons | zones | listed | intervals |
      | 2       | 1     | 2      | 2         |
      | 8       | 4     | 8      | 4         |
      | 8       | 3     | 1      | 12        |
      | 32      | 4     | 32     | 12        |

  Scenario: Every daemon is alive in a fleet without faults
    Given a fleet of 8 daemons in 4 data centres of which 8 are on the VM list
    When the fleet runs for 30 heartbeat intervals
    Then every daemon sees every other as "alive"

  Scenario Outline: A daemon that <fault> is seen as <state>
    Given a fleet of 8 daemons in 4 data centres of which 8 are on the VM list
    And the fleet runs for 10 heartbeat intervals
    When fleet daemon 3 <fault>
    And the fleet runs for <intervals> heartbeat intervals
    Then every other daemon sees fleet daemon 3 as "<state>"

    Examples:
      | fault             | state   | intervals |
      | is killed         | dead    | 5         |
      | is paused         | suspect | 15        |
      | is cut from all   | suspect | 15        |
      | is back from kill | alive   | 10        |
      | is back from cut  | alive   | 20        |

  Scenario: A change of partitions spreads to every daemon
    Given a fleet of 32 daemons in 4 data centres of which 32 are on the VM list
    And the fleet runs for 15 heartbeat intervals
    When fleet daemon 5 takes partition "zone-1.99" at epoch 7
    And the fleet runs for 6 heartbeat intervals
    Then every other daemon sees fleet daemon 5 as holder of "zone-1.99"

  Scenario: A drain is announced immediately
    Given a fleet of 8 daemons in 4 data centres of which 8 are on the VM list
    And the fleet runs for 10 heartbeat intervals
    When fleet daemon 2 drains
    And the fleet runs for 3 heartbeat intervals
    Then every other daemon sees fleet daemon 2 as draining

  Scenario: A newer configuration version spreads to every daemon
    Given a fleet of 32 daemons in 4 data centres of which 32 are on the VM list
    And the fleet runs for 10 heartbeat intervals
    When fleet daemon 0 has configuration version 2 and the others adopt newer versions
    And the fleet runs for 6 heartbeat intervals
    Then every fleet daemon has configuration version 2

  Scenario: A quarantine spreads to every daemon
    Given a fleet of 32 daemons in 4 data centres of which 32 are on the VM list
    And the fleet runs for 10 heartbeat intervals
    When fleet daemon 0 quarantines a request and the others adopt received quarantines
    And the fleet runs for 6 heartbeat intervals
    Then every daemon has the request in quarantine

  Scenario: A delayed heartbeat does not make its sender look recently alive
    Given a fleet of 2 daemons in 1 data centres of which 2 are on the VM list
    And the fleet runs for 5 heartbeat intervals
    When fleet daemon 0 handles a heartbeat of fleet daemon 1 that was delayed by 20 intervals
    Then the age of fleet daemon 1 at fleet daemon 0 is at least 20 intervals

  Scenario: The heartbeat traffic of a daemon does not grow with the fleet
    Given fleets of 16 and 64 daemons in 4 data centres that ran for 20 heartbeat intervals
    Then a daemon of the larger fleet sends at most 1.3 times the bytes of the smaller
