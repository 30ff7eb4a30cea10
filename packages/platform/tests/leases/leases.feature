Feature: Leases

  Scenario: A renewed lease is held and does not lapse
    Given a daemon that keeps its lease of 6 seconds, and an observer
    When 30 seconds of the lease pass
    Then the lease is held and has not lapsed for the observer

  Scenario: A lease lapses for its observer only after it ended for its holder
    Given a daemon that keeps its lease of 6 seconds, and an observer
    When the daemon of the lease is cut off from the platform
    Then the lease ends for its holder before it lapses for the observer

  Scenario: The lease runs from the time at which the renewal was sent
    Given a daemon that keeps its lease of 6 seconds, and an observer
    When the renewal of the lease takes 4 seconds and no other gets through
    Then the lease ends 6 seconds after that renewal was sent

  Scenario Outline: The lease is kept despite <fault>
    Given a daemon that keeps its lease of 6 seconds, and an observer
    When the lease meets <fault> and 30 seconds pass
    Then the lease is held and has not lapsed for the observer

    Examples:
      | fault                     |
      | a lost answer             |
      | five lost answers         |
      | a failed call             |
      | a short outage            |

  Scenario: Leases lapse neither in a platform outage nor within one lease after it
    Given a daemon that keeps its lease of 6 seconds, and an observer
    When the platform of the lease is down for a minute
    Then the lease has not lapsed for the observer once the platform is back

  Scenario: A released lease lapses at the next read
    Given a daemon that keeps its lease of 6 seconds, and an observer
    When the daemon releases its lease
    Then the lease has lapsed for the observer at its next read

  Scenario: A newer incarnation of a daemon takes over the lease
    Given a daemon that keeps its lease of 6 seconds, and an observer
    When the same daemon starts again with a newer incarnation of the lease
    Then the older incarnation stops holding the lease and is notified
