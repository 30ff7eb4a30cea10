Feature: Callers that disconnect
  The operators' configuration decides whether an engine's stream is kept for a
  caller that may reconnect.

  Scenario Outline: The stream of a caller that has disconnected
    Given a fleet whose text sets keeps_abandoned_streams = <setting>
    When a caller of the fleet disconnects after 3 tokens
    Then the engine's stream for the caller is <fate>

    Examples:
      | setting | fate      |
      | no      | cancelled |
      | yes     | complete  |

  Scenario: The stream of a program that is ended
    Given a fleet whose text sets keeps_abandoned_streams = yes
    When a program of the fleet is ended after 3 tokens
    Then the engine's stream for the caller is cancelled
