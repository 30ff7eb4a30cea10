Feature: Ownership of partitions

  Background:
    Given three daemons of the data centre cat-lai and one of cai-mep

  Scenario: Every partition has one holder and each daemon its share
    Then every partition of cat-lai is held, and each of its daemons holds 2

  Scenario Outline: Partitions of a lost daemon are taken over <when>
    When the daemon entry-1 is <loss>
    Then its partitions are served by others of cat-lai <when>

    Examples:
      | loss                              | when                    |
      | dead                              | within a second         |
      | drained                           | within two seconds      |
      | frozen                            | after its lease         |
      | cut off from the platform         | after its lease         |
      | cut off from platform and peers   | after its lease         |

  Scenario: Holders continue to serve during an outage of the platform
    When the platform is down for a minute
    Then every partition of cat-lai was served all the time

  Scenario: A holder that cannot observe a peer stops when its lease expires
    When the platform is down and the daemon entry-1 is suspect to the others
    Then only entry-1 of cat-lai serves after the leases expire

  Scenario: Another data centre takes over only once the configuration marks this one as down
    When every daemon of cat-lai is dead
    Then entry-9 of cai-mep holds none of cat-lai's partitions after a minute
    When the configuration marks cat-lai as down
    Then entry-9 of cai-mep serves all of cat-lai's partitions

  Scenario: A data centre that recovers gets its partitions back
    When every daemon of cat-lai is dead
    And the configuration marks cat-lai as down
    And cat-lai has new daemons and is no longer marked as down
    Then the new daemons of cat-lai serve all of its partitions

  Scenario: A daemon that joins gets its share
    When the daemon entry-4 joins cat-lai
    Then entry-4 holds at least 1 of cat-lai's partitions
