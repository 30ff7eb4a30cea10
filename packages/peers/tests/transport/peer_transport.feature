Feature: Exchanges between daemons

  Scenario Outline: Replies arrive completely and in order over <transport>
    Given two daemons joined by <transport> transport
    And the peer handler sends <replies> numbered replies
    When the requester reads all replies of an exchange
    Then the requester has <replies> numbered replies in order

    Examples:
      | transport | replies |
      | memory    | 1       |
      | memory    | 1000    |
      | connect   | 1       |
      | connect   | 1000    |

  Scenario Outline: Concurrent exchanges over <transport> get their own replies
    Given two daemons joined by <transport> transport
    And the peer handler answers in reverse order of arrival
    When 200 exchanges are made at once
    Then each exchange has the reply to its own request

    Examples:
      | transport |
      | memory    |
      | connect   |

  Scenario Outline: A failed exchange over <transport> reports its kind and outcome: <fault>
    Given two daemons joined by <transport> transport
    When an exchange is made with fault "<fault>"
    Then the exchange fails as "<kind>" with outcome "<outcome>"

    Examples:
      | transport | fault                        | kind             | outcome |
      | memory    | handler refuses              | limit_reached    | not_run |
      | connect   | handler refuses              | limit_reached    | not_run |
      | memory    | handler throws foreign error | internal         | unknown |
      | connect   | handler throws foreign error | internal         | unknown |
      | memory    | nothing listens              | peer_unavailable | not_run |
      | connect   | nothing listens              | peer_unavailable | not_run |
      | memory    | peer dies with it            | peer_lost        | unknown |
      | connect   | peer dies with it            | peer_lost        | unknown |
      | memory    | no reply in time             | peer_lost        | unknown |
      | connect   | no reply in time             | peer_lost        | unknown |
      | memory    | requester cancels            | cancelled        | unknown |
      | connect   | requester cancels            | cancelled        | unknown |
      | memory    | cancelled before it is sent  | cancelled        | not_run |
      | connect   | cancelled before it is sent  | cancelled        | not_run |

  Scenario Outline: A message that the connection does not carry ends no other exchange: <fault>
    Given two daemons joined by connect transport
    And an exchange is in progress
    When an exchange is made with fault "<fault>"
    Then the exchange fails as "<kind>" with outcome "<outcome>"
    And the exchange in progress gets its reply

    Examples:
      | fault                      | kind            | outcome |
      | request is too large       | too_large       | not_run |
      | request cannot be encoded  | invalid_request | not_run |
      | reply is too large         | too_large       | unknown |
      | reply cannot be encoded    | internal        | unknown |

  Scenario Outline: A refused connection is recognized over <transport>
    Given two daemons joined by <transport> transport
    When an exchange is made with fault "nothing listens"
    Then the exchange error is a refused connection

    Examples:
      | transport |
      | memory    |
      | connect   |

  Scenario Outline: A timeout is not reported as a refused connection over <transport>
    Given two daemons joined by <transport> transport
    When an exchange is made with fault "no reply in time"
    Then the exchange error is not a refused connection

    Examples:
      | transport |
      | memory    |
      | connect   |

  Scenario Outline: The handler over <transport> is aborted when the requester stops: <end>
    Given two daemons joined by <transport> transport
    When the requester stops an endless exchange by "<end>"
    Then the peer handler is aborted

    Examples:
      | transport | end              |
      | memory    | early return     |
      | memory    | signal           |
      | connect   | early return     |
      | connect   | signal           |

  Scenario Outline: A slow reader over <transport> applies backpressure to its sender
    Given two daemons joined by <transport> transport
    And the peer handler sends 5000 numbered replies
    When the requester reads 10 replies and pauses while 50 other exchanges run
    Then the peer handler has produced at most 75 replies
    And the requester reads the rest of the 5000 replies in order

    Examples:
      | transport |
      | memory    |
      | connect   |

  Scenario Outline: The requester reconnects to a restarted peer over <transport>
    Given two daemons joined by <transport> transport
    When the peer dies and another process starts at its address
    Then an exchange reaches the new process

    Examples:
      | transport |
      | memory    |
      | connect   |
