Feature: Mutual TLS between daemons

  Scenario: Daemons with certificates of one authority exchange messages
    Given a TLS peer with certificate "daemon" of "authority"
    When a daemon with certificate "daemon" of "authority" asks the TLS peer
    Then the TLS peer has answered

  Scenario Outline: <who> is refused
    Given a TLS peer with certificate "<server>" of "<server authority>"
    When a daemon with certificate "<client>" of "<client authority>" asks the TLS peer
    Then the TLS peer has not handled the request, and the request fails

    Examples:
      | who                      | server   | server authority  | client   | client authority  |
      | a requester of strangers | daemon   | authority         | stranger | authority         |
      | a server of strangers    | stranger | authority         | daemon   | authority         |
      | a wholly foreign daemon  | daemon   | authority         | stranger | foreign_authority |

  Scenario: Replaced certificate files are reloaded
    Given a TLS peer with certificate "stranger" of "authority"
    And a daemon with certificate "daemon" of "authority" asks the TLS peer
    When the files of the TLS peer are replaced by certificate "daemon"
    Then the daemon's requests to the TLS peer succeed again
