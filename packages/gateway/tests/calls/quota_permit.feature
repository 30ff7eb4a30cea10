Feature: Places of calls in the quotas of their tenants

  # Guards against calls that wait for a silent holder after their clients have
  # left, and against places that such calls keep.
  Scenario Outline: A call that ends while its quota is decided does not wait, and returns what it gets
    Given a call of a tenant whose quota is being decided
    When the call ends because of "<reason>"
    Then the call fails with "<error>" before the decision
    When the decision is "<decision>"
    Then <returned> places are returned

    Examples:
      | reason      | error             | decision | returned |
      | client_gone | deadline_exceeded | granted  | 1        |
      | timeout     | deadline_exceeded | granted  | 1        |
      | stopping    | draining          | granted  | 1        |
      | client_gone | deadline_exceeded | exceeded | 0        |
      | client_gone | deadline_exceeded | unknown  | 0        |

  # Guards against a place that is returned twice, or though the call may have run.
  Scenario Outline: A granted call that <state> returns <returned> places
    Given a call of a tenant whose quota is being decided
    When the decision is "granted"
    And the call that <state> ends
    Then <returned> places are returned

    Examples:
      | state                | returned |
      | has not run          | 1        |
      | may have run         | 0        |
