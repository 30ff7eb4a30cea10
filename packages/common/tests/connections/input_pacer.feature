Feature: The input of one client does not keep others waiting

  # Guards against reads whose requests are all parsed after their connection has ended.
  Scenario: No more requests of a read are parsed than a few once its connection has ended
    Given a server that ends a connection at its 3rd request
    When a client sends 500 requests at once
    Then the server has read fewer than 100 requests

  # Guards against parts of bodies that are lost or change places while they wait.
  Scenario Outline: A body of <bytes> bytes in <parts> arrives as it was sent
    Given a server that echoes bodies
    When 20 clients send bodies of <bytes> bytes in <parts>
    Then each client gets its own body back

    Examples:
      | bytes  | parts              |
      | 20000  | chunks of 1 byte   |
      | 300000 | chunks of 700 byte |
      | 300000 | one piece          |

  Scenario: Requests sent ahead of responses that are not read are answered in order
    Given a server that echoes bodies
    When a client sends 200 requests with bodies of 5000 bytes ahead and then reads
    Then the client gets its 200 bodies in order
