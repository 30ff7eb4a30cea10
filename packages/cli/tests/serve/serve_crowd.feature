Feature: A crowd of clients ends no daemon that the command line runs

  The limits of the settings are low, so that a small crowd exceeds them. A scenario
  fails if the process ends, hangs, exceeds them, or keeps what the crowd cost.

  Background:
    Given a daemon of "marigoldpost serve" with 256 MB and 400 descriptors

  Scenario Outline: A crowd of <clients> clients at the <port> port of a daemon with <shape>
    When <clients> clients come to the <port> port of the daemon with <shape>
    Then the daemon answers an ordinary request at its <port> port
    When the clients of the daemon's crowd have left
    Then the daemon has used 256 MB and 400 descriptors at most
    And the daemon answers an ordinary request at its callers port
    And the daemon uses less than 192 MB and 80 descriptors again

    Examples:
      | clients | shape                                     | port    |
      | 600     | idle connections                          | callers |
      | 600     | heads that trickle                        | callers |
      | 600     | bodies that trickle                       | callers |
      | 900     | bodies that half of them leave unfinished | callers |
      | 300     | pipelined requests and nothing read       | callers |
      | 600     | large responses that they do not read     | callers |
      | 1500    | connections that they reset at once       | callers |
      | 300     | pipelined requests and nothing read       | metrics |
      | 600     | idle connections                          | peers   |
      | 60      | messages that do not end                  | peers   |
      | 60      | streams without requests                  | peers   |
      | 60      | requests whose replies they do not read   | peers   |

  Scenario Outline: A draining daemon with a crowd of <clients> clients at its <port> port ends
    When <clients> clients come to the <port> port of the daemon with idle connections
    And the daemon drains
    Then the daemon ends by itself
    And the daemon has used 256 MB and 400 descriptors at most

    Examples:
      | clients | port    |
      | 600     | callers |
      | 600     | peers   |

  Scenario Outline: An ordinary client of a daemon is answered while <clients> clients come with <shape>
    When another process has <clients> clients come to the daemon with <shape>
    Then the daemon answers an ordinary request at its callers port
    When the daemon's other process has been killed
    Then the daemon has used 256 MB and 400 descriptors at most
    And the daemon answers an ordinary request at its callers port

    Examples:
      | clients | shape                                        |
      | 800     | bodies in chunks of one byte again and again |
      | 400     | bodies in chunks of one byte                 |
