Feature: Reachability of an archive

  # Guards against one program's request that disconnects an entry VM from all archives.
  Scenario Outline: An archive whose request fails with <kind> is <state>
    Given a client of an archive whose requests fail with <kind>
    When a request to the archive fails
    Then the archive is <state>

    Examples:
      | kind                | state       |
      | peer_lost           | unreachable |
      | archive_unavailable | unreachable |
      | invalid_request     | reachable   |
      | too_large           | reachable   |
      | internal            | reachable   |

  Scenario: An archive is reachable although a request to it cannot be encoded
    Given a client of an archive over a real connection
    When the client sends a reservation that cannot be encoded
    Then the archive is reachable
    And the archive replies to another request
