Feature: Quotas of tenants at the entry VMs that hold them
  The window is 5 s; it tolerates a tenth and 20 requests beyond a quota.

  # Guards against a bucket that grants parts of requests, more than is asked for,
  # or more than it may save.
  Scenario Outline: A bucket of <rate>/s and <capacity> that starts with <initial> grants <granted> of <asked> requests after <elapsed> ms
    Given a bucket of <rate> requests a second, <capacity> at once and <initial> at the start
    When <elapsed> ms pass for the bucket
    Then <asked> requests at a share of <share> get <granted>

    Examples:
      | rate | capacity | initial | elapsed | share | asked | granted |
      | 10   | 20       | 4       | 0       | 1     | 10    | 4       |
      | 10   | 20       | 4       | 99      | 1     | 10    | 4       |
      | 10   | 20       | 4       | 100     | 1     | 10    | 5       |
      | 10   | 20       | 4       | 100     | 1     | 0     | 0       |
      | 10   | 20       | 4       | 100     | 1     | 3     | 3       |
      | 10   | 20       | 4       | 600000  | 1     | 99    | 20      |
      | 10   | 20       | 4       | 1000    | 0.5   | 99    | 9       |
      | 10   | 20       | 4       | 1000    | 0     | 99    | 4       |
      | 10   | 20       | 4       | 600000  | 0.5   | 99    | 10      |
      | 10   | 20       | 4       | 600000  | 0.1   | 99    | 4       |
      | 10   | 20       | 4       | -1000   | 1     | 99    | 4       |
      | 0.25 | 1        | 1       | 4000    | 1     | 99    | 1       |

  # Guards against a limit that is lowered but still saves the old burst, and one
  # that is raised and grants the difference at once.
  Scenario Outline: A bucket whose capacity changes from 20 to <capacity> grants <granted>
    Given a bucket of 10 requests a second, 20 at once and 4 at the start
    When 60000 ms pass for the bucket
    And the bucket's limit becomes <rate> requests a second and <capacity> at once
    Then 99 requests at a share of 1 get <granted>

    Examples:
      | rate | capacity | granted |
      | 10   | 5        | 5       |
      | 10   | 50       | 20      |
      | 0    | 1        | 1       |

  # Guards against returned requests that raise a bucket above its capacity, or
  # that were never granted by it.
  Scenario Outline: A bucket that granted <granted> and gets <returned> back holds <held>
    Given a bucket of 0 requests a second, <capacity> at once and 10 at the start
    When the bucket grants <granted> requests
    And the bucket gets <returned> requests back
    Then 99 requests at a share of 1 get <held>

    Examples:
      | capacity | granted | returned | held |
      | 10       | 6       | 2        | 6    |
      | 10       | 6       | 6        | 10   |
      | 10       | 6       | 99       | 10   |
      | 10       | 0       | 3        | 10   |

  # Guards against a caller that waits as told and is refused again.
  Scenario: A request that waits for the stated delay is granted
    Then in 1000 random buckets a request that waits for its delay is granted

  # Guards against a window whose count includes expired requests or misses some.
  Scenario: A bucket counts the requests of the window
    Given a bucket of 10 requests a second, 20 at once and 4 at the start
    When the bucket grants 3 requests
    And 3000 ms pass for the bucket
    And the bucket grants 2 requests
    Then 5 requests count since 0 ms
    And 2 requests count since 1 ms

  # Guards against parts of a split network that together grant more than the rate,
  # and against a new holder that counts beside a silent one.
  Scenario Outline: A holder that reaches <reached> of <total> data centres with <absent> may grant <share>
    Then the share with <reached> of <total> data centres and <absent> absent is <share>

    Examples:
      | reached | total | absent                         | share |
      | 1       | 1     | none                           | 1     |
      | 3       | 3     | none                           | 1     |
      | 1       | 4     | none                           | 0.25  |
      | 3       | 4     | none                           | 0.75  |
      | 0       | 4     | none                           | 0     |
      | 5       | 4     | none                           | 1     |
      | 3       | 3     | ended for 0 ms                 | 1     |
      | 3       | 3     | silent for 0 ms                | 0     |
      | 3       | 3     | silent for 999 ms              | 0     |
      | 3       | 3     | silent for 1000 ms             | 1     |
      | 1       | 2     | silent for 1000 ms             | 0.5   |
      | 3       | 3     | ended for 0 ms, silent for 1 ms | 0    |

  # Guards against a bound for large tenants that small ones exceed, and the
  # opposite.
  Scenario Outline: A holder of a tenant of <rate>/s and <burst> stays within every window and grants the whole quota
    Given a holder
    When 400 requests of a tenant of <rate> a second and <burst> at once come every 20 ms for 60 s
    Then no window of 5 s has more than the quota and its tolerance
    And at least the rate is granted in 60 s

    Examples:
      | rate | burst |
      | 0.25 | 0     |
      | 2    | 4     |
      | 10   | 100   |
      | 300  | 20    |

  # Guards against memory that grows with the tenants that were ever seen.
  Scenario: A holder forgets tenants without requests
    Given a holder
    When each of 5000 tenants sends one request
    And 1300000 ms pass at the holder
    And one tenant sends a request
    Then the holder counts 1 tenant

  # Guards against a limit of an older configuration that replaces the one in force.
  Scenario Outline: A holder that knows version 5 and hears of version <version> applies <rate> a second
    Given a holder
    When a request of version 5 states 10 a second
    And a request of version <version> states 40 a second
    Then the holder grants <rate> a second from then on

    Examples:
      | version | rate |
      | 4       | 10   |
      | 5       | 10   |
      | 6       | 40   |

  # Guards against requests that count at two holders within one window.
  Scenario Outline: A holder asked by a VM that <before> grants <granted> of 99
    Given a holder that has saved the whole burst of 30
    When a VM that <before> asks for 99 requests
    Then <granted> of them are granted

    Examples:
      | before                        | granted |
      | had its last grant here       | 42      |
      | had its last grant nowhere    | 42      |
      | had its last grant elsewhere  | 1       |

  # Guards against a tenant whose burst is refused after a pause.
  Scenario Outline: A tenant that pauses for <pause> s gets its burst at once
    Given a holder that has saved the whole burst of 30
    When the tenant pauses for <pause> s, while others send requests
    And a VM that had its last grant nowhere asks for 30 requests
    Then 30 of them are granted

    Examples:
      | pause |
      | 10    |
      | 59    |
      | 121   |

  # Guards against parts of a split network that each grant a whole burst.
  Scenario Outline: Holders in <parts> parts of a split network stay within every window after <quiet> s
    Given one holder in each of <parts> parts, of which the first has saved the burst
    When the network splits, and each part has one request a second for <quiet> s
    And each part has 99 requests every 20 ms for 10 s of a tenant of <rate> a second and <burst> at once
    Then no window of 5 s has more than the quota and its tolerance

    Examples:
      | parts | quiet | rate | burst |
      | 2     | 0     | 2    | 4     |
      | 3     | 0     | 2    | 4     |
      | 4     | 0     | 2    | 4     |
      | 2     | 60    | 10   | 100   |
      | 3     | 60    | 10   | 100   |
