Feature: A daemon that loses its links to targets
  The other daemons reach the targets. Calls of programs whose partitions the
  daemon holds must not wait for its links.

  Scenario: Calls are served while no daemon has lost its links
    Given a fleet of daemons
    When each daemon receives 6 bookings and 6 chat calls
    Then every call is served

  Scenario: Calls are served while the holder of their partition reaches no target
    Given a fleet of daemons
    When a daemon loses its links to all targets
    And each daemon receives 6 bookings and 6 chat calls
    Then every call is served
