Feature: Plain service client
  The in-memory instance and the HTTP client fulfil the same contract. A request
  that fails with outcome "not_run" never ran.

  Scenario Outline: A fault gives its error and outcome (<fault>, <transport>)
    Given an instance of a plain service over <transport>
    When the instance has fault <fault> on a booking
    Then the booking's client got <told> and the instance ran it <runs> times

    Examples:
      | fault             | transport | told                   | runs |
      | none              | memory    | 200                    | 1    |
      | none              | socket    | 200                    | 1    |
      | fail_before_run   | memory    | 500                    | 0    |
      | fail_before_run   | socket    | 500                    | 0    |
      | hang_before_run   | memory    | target_timeout unknown | 0    |
      | hang_before_run   | socket    | target_timeout unknown | 0    |
      | hang_after_run    | memory    | target_timeout unknown | 1    |
      | hang_after_run    | socket    | target_timeout unknown | 1    |
      | lose_answer       | memory    | target_failed unknown  | 1    |
      | lose_answer       | socket    | target_failed unknown  | 1    |
      | cut_before_run    | memory    | target_failed unknown  | 0    |
      | cut_before_run    | socket    | target_failed unknown  | 0    |
      | crash_before_run  | memory    | target_failed unknown  | 0    |
      | crash_before_run  | socket    | target_failed unknown  | 0    |
      | crash_after_run   | memory    | target_failed unknown  | 1    |
      | crash_after_run   | socket    | target_failed unknown  | 1    |

  Scenario Outline: A request to a dead instance fails as not run (<transport>)
    Given an instance of a plain service over <transport>
    When the instance is dead when a booking is sent
    Then the booking's client got target_failed not_run and the instance ran it 0 times

    Examples:
      | transport |
      | memory    |
      | socket    |

  Scenario Outline: A request that the caller aborts is cancelled (<transport>)
    Given an instance of a plain service over <transport>
    When the caller aborts a booking that hangs
    Then the booking's client got cancelled unknown and the instance ran it 0 times

    Examples:
      | transport |
      | memory    |
      | socket    |

  Scenario Outline: An instance deduplicates requests by key if it supports it (<dedup>, <transport>)
    Given an instance of a plain service over <transport> that <dedup> by key
    When the same booking is sent twice to the instance
    Then the instance ran it <runs> times

    Examples:
      | dedup        | transport | runs |
      | deduplicates | memory    | 1    |
      | deduplicates | socket    | 1    |
      | repeats      | memory    | 2    |
      | repeats      | socket    | 2    |
