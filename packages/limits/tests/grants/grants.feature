Feature: Limits that all daemons share

  Scenario: Faults never let the requests in flight exceed the limit
    Given holders and allocators of an in-flight limit with every safeguard
    Then none of 300 runs with faults exceeds the in-flight limit

  Scenario Outline: The check of the in-flight limit detects a build without <part>
    Given holders and allocators of an in-flight limit without "<part>"
    Then one of 1000 runs with faults exceeds the in-flight limit

    Examples:
      | part                |
      | wait for old grants |
      | check of the expiry |
      | check of the lease  |

  Scenario: Faults never let the request rate exceed the limit
    Given holders and allocators of a request rate limit with every safeguard
    Then none of 200 runs with faults exceeds the request rate limit

  Scenario: The check of the rate limit detects a build without the wait for old grants
    Given holders and allocators of a request rate limit without "wait for old grants"
    Then one of 300 runs with faults exceeds the request rate limit

  Scenario: No holder starves while the demand exceeds the limit
    Given 6 holders that each keep one request queued for a limit of 4
    When the holders send requests for 60 seconds
    Then each holder has completed at least 10 requests under the limit

  Scenario: An idle holder's units are granted to the holder that needs them
    Given one holder that has used the whole limit and is now idle
    When another holder requests the whole limit for 20 seconds
    Then the other holder has the whole limit in use

  Scenario: A holder keeps its grant when another allocator takes over
    Given one holder that uses the whole in-flight limit
    When another allocator takes over and 2 maximum request durations pass
    Then the holder still starts requests up to the limit

  Scenario Outline: A limit is divided among data centres by their shares
    Given a limit of <total> with shares "<shares>"
    Then the divided limit is "<amounts>"

    Examples:
      | total | shares        | amounts |
      | 10    | 0.5 0.3 0.2   | 5 3 2   |
      | 10    | 0.25 0.25 0.5 | 3 2 5   |
      | 100   | 0.29 0.71     | 29 71   |
      | 1     | 0.5 0.5       | 1 0     |
