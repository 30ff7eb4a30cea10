Feature: The active operators' configuration

  Scenario: A change is active on every daemon within 2 seconds
    Given 3 daemons that follow configuration version 1
    When configuration version 2 is accepted
    Then within 2 seconds version 2 is active on every daemon

  Scenario: A daemon cut off from the platform fetches a newer configuration from a peer
    Given 3 daemons that follow configuration version 1
    And daemon 0 is cut off from the platform
    When configuration version 2 is accepted
    And daemon 0 is notified of version 2 by daemon 1
    Then within 1 seconds version 2 is active on every daemon

  Scenario: A daemon restarted in an outage fetches the configuration from its peers
    Given 3 daemons that follow configuration version 1
    And the platform of the followers is down
    When daemon 2 restarts
    Then within 1 seconds version 1 is active on every daemon

  Scenario: A single daemon restarted in an outage has no configuration
    Given 1 daemons that follow configuration version 1
    And the platform of the followers is down
    When daemon 0 restarts
    Then after 20 seconds daemon 0 has no active configuration

  Scenario: A daemon started in an outage gets the configuration after the outage
    Given 1 daemons that follow configuration version 1
    And the platform of the followers is down
    When daemon 0 restarts
    And the platform of the followers is up
    Then within 5 seconds version 1 is active on every daemon

  Scenario: An invalid configuration is never active
    Given 3 daemons that follow configuration version 1
    When an invalid configuration version 2 is written without the check
    Then after 5 seconds version 1 is active on every daemon

  Scenario: The active configuration never reverts
    Then in 150 runs with cuts, outages and restarts no daemon reverts to an older configuration

  Scenario: The check for reverts detects a revert
    Then the check for reverts fails for versions 1, 3, 2
