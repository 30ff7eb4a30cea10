Feature: Entry VMs follow the site's objects through archives
  One daemon that watches the object API for others must not delay a change
  beyond its bound, nor show an older state than before, whatever happens to it
  at the moment of the change.

  Scenario Outline: A change is known in time although the reader <fault> at that moment
    Given 6 entry VMs that follow "targets/" through 2 archives
    When the reader of the first entry VM <fault> and object "targets/a" is written
    Then each entry VM knows object "targets/a" within <bound> ms
    And each entry VM knows all later changes within <bound> ms

    Examples:
      | fault                               | bound |
      | dies                                | 2000  |
      | freezes                             | 2000  |
      | is cut from the entry VMs           | 2000  |
      | is refused by the object API        | 2000  |
      | gets no response of the object API  | 3000  |
      | loses its next response             | 3000  |
      | gets responses to stale reads only  | 3000  |

  Scenario Outline: A change is known in time although all readers <fault> at that moment
    Given 6 entry VMs that follow "targets/" through 2 archives
    When all readers <fault> and object "targets/a" is written
    Then each entry VM knows object "targets/a" within <bound> ms
    And the object API received at most 24 calls since

    Examples:
      | fault                               | bound |
      | die                                 | 2000  |
      | freeze                              | 2000  |
      | get no response of the object API   | 3000  |

  Scenario: An archive of an earlier build leaves the entry VMs to the object API
    Given 6 entry VMs that follow "targets/" through 2 archives of an earlier build
    When object "targets/a" is written
    Then each entry VM knows object "targets/a" within 500 ms

  Scenario: A reader that wakes up does not pass for one that is up to date
    Given 6 entry VMs that follow "targets/" through 2 archives
    When all readers freeze for 8000 ms and object "targets/a" is written
    And object "targets/b" is written as they wake up
    Then each entry VM knows object "targets/b" within 500 ms

  Scenario: Entry VMs need no listing when the object API discards its history
    Given 6 entry VMs that follow "targets/" through 2 archives
    When the object API discards its history after objects "targets/a" and "targets/b" are written and "targets/a" is removed
    Then each entry VM knows object "targets/b" within 2000 ms
    And each entry VM knows object "targets/a" within 2000 ms
    And the object API received at most 8 calls since

  Scenario: A change of which the object API has discarded the history is known when the readers lose contact
    Given 6 entry VMs that follow "targets/" through 2 archives
    When the object API leaves waits from before its history without an answer
    And all readers are refused by the object API and object "targets/a" is written and discarded from the history
    Then each entry VM knows object "targets/a" within 2000 ms

  Scenario: Stale reads that are older than the history are repeated at a moderate rate
    Given 6 entry VMs that follow "targets/" through 2 archives
    When stale listings are older than the history for 10000 ms
    Then the readers sent at most 80 stale calls since

  Scenario: Calls to the object API do not grow with the entry VMs
    Given 4 entry VMs that follow "targets/" through 2 archives
    When the site has run for 60000 ms
    And 40 entry VMs follow "targets/" through 2 archives for as long
    Then the second site sent no more than 40 calls more than the first

  Scenario: No entry VM goes back to an earlier version
    When entry VMs follow random changes through readers that fail at random, with seeds 1 to 30
    Then no entry VM saw an earlier version after a later one
    And each entry VM knew the final objects 6000 ms after the last fault
