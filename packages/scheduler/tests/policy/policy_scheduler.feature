Feature: Policy scheduler
  Which waiting call goes where and when.

  Scenario: A window is never exceeded and every call goes out once
    Then for any traffic the scheduler keeps each window and sends each call once

  Scenario: The same seed gives the same decisions
    Then for any traffic a second scheduler decides the same

  Scenario: No call is passed by calls that arrive after the bound
    Then for any attained service and class no call is passed beyond its bound

  Scenario Outline: Only fitting targets get a call
    Given a scheduler with targets "a" and "b" where "a" <state>
    When a call <kind> is added to the scheduler
    Then the scheduler sends the call to <target>

    Examples:
      | state          | kind                     | target  |
      | is open        | that excludes "b"        | a       |
      | is closed      | of the ordinary kind     | b       |
      | is closed      | that excludes "b"        | nowhere |
      | lacks a model  | of the ordinary kind     | b       |
      | runs a call    | that must run alone      | b       |
      | holds a prefix | that repeats that prefix | a       |

  Scenario: A call that runs alone keeps others off its target
    Given a scheduler with one target and a call that must run alone
    When an ordinary call is added to that scheduler
    Then the ordinary call waits until the lone call has finished

  Scenario: An immediate call goes before a batch that waits
    Given a scheduler with a full window and 20 batch calls that wait
    When an immediate call is added and a place becomes free
    Then the scheduler sends the immediate call first

  Scenario: A short program goes before one that has had much service
    Given a scheduler with a full window and a program with much service
    When a call of that program waits before a call of a new program
    Then the scheduler sends the call of the new program first

  Scenario: Overload refuses new programs before the calls of old ones
    Given a scheduler whose queue is longer than a new program may wait
    Then the scheduler refuses a first call as "overloaded" that was not run
    And the scheduler accepts a later call of a program under way

  Scenario Outline: A plain service gets its calls by least in flight
    Given a scheduler with plain targets "a" and "b"
    When <calls> plain calls are added to the scheduler
    Then targets "a" and "b" have <each> plain calls each

    Examples:
      | calls | each |
      | 6     | 3    |
      | 100   | 50   |
