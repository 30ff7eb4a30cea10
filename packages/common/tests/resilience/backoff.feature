Feature: Backoff and retry budget

  Scenario: Every wait stays under its doubling ceiling
    Given any seed, base and maximum of a backoff
    Then each wait of the backoff lies between 0 and its ceiling

  Scenario: Retries never exceed the earned share
    Given any sequence of requests and retries on a retry budget
    Then the retries taken stay within what the retry budget allows
