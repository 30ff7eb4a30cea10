Feature: Policy scheduler
  Decides when to dispatch a queued call, and to which target.

  Scenario: Windows are never exceeded and no call is lost or dispatched twice
    Then for any traffic the scheduler respects each window and dispatches each call once

  Scenario: Decisions are reproducible from the same seed
    Then for any traffic a second scheduler makes the same decisions

  Scenario: No call is overtaken by calls that arrive after its overtaking bound
    Then for any attained service and class no call is overtaken beyond its bound

  Scenario Outline: A call is dispatched only to a suitable target
    Given a scheduler with targets "a" and "b" where "a" <state>
    When a call <kind> is added to the scheduler
    Then the scheduler dispatches the call to <target>

    Examples:
      | state          | kind                     | target  |
      | is open        | that excludes "b"        | a       |
      | is closed      | of the ordinary kind     | b       |
      | is closed      | that excludes "b"        | nowhere |
      | lacks a model  | of the ordinary kind     | b       |
      | runs a call    | that must run alone      | b       |
      | holds a prefix | that repeats that prefix | a       |

  Scenario: No call is dispatched to a target beside one that must run alone
    Given a scheduler with one target that runs a call that must run alone
    When an ordinary call is added to that scheduler
    Then the ordinary call waits until the exclusive call has finished

  Scenario: An immediate call overtakes queued batch calls
    Given a scheduler with a full window and 20 queued batch calls
    When an immediate call is added and the window gets room
    Then the scheduler dispatches the immediate call first

  Scenario: A new program overtakes one with much attained service
    Given a scheduler with a full window and a program with much attained service
    When a call of that program is queued before a call of a new program
    Then the scheduler dispatches the call of the new program first

  Scenario: Under overload, first calls of programs are rejected before later ones
    Given a scheduler whose expected wait exceeds the maximum of a first call
    Then the scheduler rejects a first call as "overloaded" and not run
    And the scheduler accepts a later call of a program

  Scenario Outline: Calls of a plain service go to the target with the fewest in flight
    Given a scheduler with plain targets "a" and "b"
    When <calls> plain calls are added to the scheduler
    Then targets "a" and "b" have <each> plain calls each

    Examples:
      | calls | each |
      | 6     | 3    |
      | 100   | 50   |
