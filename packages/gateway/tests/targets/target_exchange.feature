Feature: Request to a target

  Scenario: A connect timeout fails the request as unreachable and not sent
    When a request is sent to a target that never accepts the connection
    Then within 500 ms it fails as unreachable and not sent

  Scenario: A connection that opens while the process does not run is no connect timeout
    When a request is sent to a target and the event loop is blocked for 200 ms
    Then the request is sent

  Scenario: A probe that connects while the process does not run has connected
    When a target is probed and the event loop is blocked for 200 ms
    Then the probe has connected

  Scenario Outline: A <request> that cannot be created fails as unreachable and not sent
    When the <request> of an exchange goes <problem>
    Then within 500 ms it fails as unreachable and not sent

    Examples:
      | request         | problem                              |
      | request         | to port 99999                        |
      | request         | to port -1                           |
      | request         | to port 0.5                          |
      | request         | to a target whose connector throws   |
      | request         | with a line break in a header        |
      | request         | with a character beyond Latin-1 in its path |
      | relayed request | to port 99999                        |
      | relayed request | to an address that is none           |
      | relayed request | with a line break in a header        |

  Scenario Outline: A target that no connection can be attempted to ends no probe
    Given a target at port <port>
    When it is probed in each way
    Then each probe ends, and the link counts as failing

    Examples:
      | port  |
      | 99999 |
      | -1    |

  Scenario: A relaying entry VM at an unusable address does not run
    Then an entry VM with a relay address at port 99999 does not run
    And an entry VM with a relay address that is none does not run
