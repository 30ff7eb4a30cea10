Feature: Backoff and retry budget

  Scenario: No delay exceeds its upper bound, which doubles up to the maximum
    Given any seed, base and maximum of a backoff
    Then each delay of the backoff is between 0 and its upper bound

  Scenario: Retries never exceed the capacity plus the earned share
    Given any sequence of requests and retries on a retry budget
    Then the consumed retries do not exceed what the retry budget allows
