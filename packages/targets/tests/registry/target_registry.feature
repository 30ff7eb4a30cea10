Feature: Registry of targets

  Scenario Outline: A daemon uses targets of its own data centre first (<own> own, <others> elsewhere)
    Given a registry in cat-lai with <own> engines there and <others> in cai-mep
    When the registry has read the VM list
    Then the registry lists the engines <listed>

    Examples:
      | own | others | listed                        |
      | 2   | 1      | plan-cat-lai-1,plan-cat-lai-2 |
      | 0   | 2      | plan-cai-mep-1,plan-cai-mep-2 |
      | 0   | 0      | none                          |

  Scenario: A leaving target gets no new requests after 3 s
    Given a registry in cat-lai with 2 engines there and 0 in cai-mep
    And the registry has read the VM list
    When the VM of plan-cat-lai-1 starts leaving
    And the registry's clock advances by 3000 ms
    Then the registry has plan-cat-lai-1 as leaving and plan-cat-lai-2 as open
    And the registry still returns the client of plan-cat-lai-1

  Scenario: An outage of the VM list does not change the targets
    Given a registry in cat-lai with 2 engines there and 0 in cai-mep
    And the registry has read the VM list
    When the registry's VM list is unavailable for 60000 ms
    Then the registry has plan-cat-lai-1 as open and plan-cat-lai-2 as open

  Scenario: A death that interrupts several requests is reported once
    Given a registry in cat-lai with 2 engines there and 0 in cai-mep
    And the registry has read the VM list
    When 3 requests run on plan-cat-lai-1 and the engine dies
    Then the registry reports 1 death with 3 requests
    And the registry has plan-cat-lai-1 as unhealthy and plan-cat-lai-2 as open

  Scenario Outline: A crash is distinguished from other faults over sockets (<fault>)
    Given a registry of one engine over a socket that <fault>
    When a request runs on the registry's engine over the socket
    Then the registry over the socket saw <deaths> deaths and has the engine as <state>

    Examples:
      | fault                     | deaths | state     |
      | crashes on the request    | 1      | unhealthy |
      | truncates the answer      | 0      | open      |
      | does not know the model   | 0      | open      |

  Scenario: A truncated stream of a running engine is not a death
    Given a registry in cat-lai with 2 engines there and 0 in cai-mep
    And the registry has read the VM list
    When 3 requests run on plan-cat-lai-1 and one is cut
    Then the registry reports 0 deaths with 0 requests
    And the registry has plan-cat-lai-1 as open and plan-cat-lai-2 as open

  Scenario Outline: A failure of requests changes a target's health (<failure>)
    Given a registry in cat-lai with 2 engines there and 0 in cai-mep
    And the registry has read the VM list
    When 4 requests on plan-cat-lai-1 fail with <failure> while it is <alive>
    Then the registry has plan-cat-lai-1 as <state> and plan-cat-lai-2 as open

    Examples:
      | failure                  | alive | state     |
      | target_failed not_run    | alive | open      |
      | target_failed not_run    | dead  | unhealthy |
      | target_failed unknown    | alive | unhealthy |
      | target_timeout unknown   | alive | unhealthy |
      | stream_truncated unknown | alive | unhealthy |
      | cancelled unknown        | alive | open      |
      | fenced not_run           | alive | open      |

  Scenario: A restarted engine first gets a single probe request
    Given a registry in cat-lai with 2 engines there and 0 in cai-mep
    And the registry has read the VM list
    When 3 requests run on plan-cat-lai-1 and the engine dies
    And plan-cat-lai-1 restarts and the registry's clock advances by 12000 ms
    Then the registry has plan-cat-lai-1 as probing and plan-cat-lai-2 as open
    And only one request may start on plan-cat-lai-1 until it succeeds
    And the registry notified its listeners that the cache of plan-cat-lai-1 is empty

  Scenario: Cache events are reported once each, despite lost events
    Given a registry in cat-lai with 1 engines there and 0 in cai-mep
    And the registry has read the VM list
    When plan-cat-lai-1 stores 30 blocks one by one and keeps only the last 10 events
    And the registry's clock advances by 3000 ms
    Then the registry reported the events 21 to 30 of plan-cat-lai-1 once each

  Scenario Outline: Transitions of the circuit breaker (<script>)
    When a circuit breaker goes through <script>
    Then the circuit breaker is <state> and <takes> a request

    Examples:
      | script                             | state     | takes   |
      | nothing                            | closed    | takes   |
      | fail fail                          | closed    | takes   |
      | fail fail ok fail                  | closed    | takes   |
      | fail fail fail                     | open      | refuses |
      | fatal                              | open      | refuses |
      | fatal ok                           | open      | refuses |
      | fatal 500                          | half_open | takes   |
      | fatal 500 start                    | half_open | refuses |
      | fatal 500 start ok                 | closed    | takes   |
      | fatal 500 start fail               | open      | refuses |
      | fatal 500 start fail 500           | open      | refuses |
      | fatal 500 start fail 1000          | half_open | takes   |
      | fatal 500 start 10000              | half_open | takes   |
