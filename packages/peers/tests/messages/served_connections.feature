Feature: Connections that peers open, within the limits of a process

  # Guards against limits whose effect operators do not see.
  Scenario Outline: What the limits on peers' connections end is logged once in 5 s
    Given a peers' port for <most> connections of <pending> requests each, that hold 2000 bytes together
    When peers open <opened> connections and send <requests> requests of <bytes> bytes over each
    Then the port logs within 5 s that it has ended <count> connections, each as <reason>

    Examples:
      | most | pending | opened | requests | bytes | count | reason    |
      | 1    | 10      | 4      | 1        | 10    | 3     | full      |
      | 4    | 1       | 3      | 2        | 10    | 3     | pipelined |
      | 4    | 10      | 2      | 1        | 3000  | 1     | buffered  |

  # Guards against ordinary peers whose connections are reset since they ask for much at once.
  Scenario: Requests whose replies find no room wait
    Given a peers' port that holds 400000 bytes together and has replies of 20000 bytes
    When 8 peers ask for 60 replies each at once
    Then each peer has its replies
    And the port has ended no connection

  Scenario: A peer that reads nothing does not delay the replies of others
    Given a peers' port that holds 400000 bytes together and has replies of 20000 bytes
    When a peer asks for 900 replies and reads nothing
    And 2 peers ask for 60 replies each at once
    Then each peer has its replies
    And the port has ended no connection
