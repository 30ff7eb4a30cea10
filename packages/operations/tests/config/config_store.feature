Feature: Changes of the operators' configuration

  Scenario Outline: The reported outcome of a change is true: <fault>
    Given operators who have applied two configurations
    When an operator changes the configuration during the fault "<fault>"
    Then the outcome "<told>" of the change is reported
    And the accepted configurations match the reported outcomes

    Examples:
      | fault                      | told              |
      | nothing                    | accepted          |
      | one lost answer            | accepted          |
      | three lost answers         | accepted          |
      | one failed call            | accepted          |
      | outage                     | store_unavailable |
      | outage after a lost answer | store_ambiguous   |
      | older base version         | config_conflict   |
      | invalid text               | config_invalid    |

  Scenario: A conflict shows both changes
    Given operators who have applied two configurations
    When an operator changes the configuration during the fault "older base version"
    Then the conflict message has "changed since" with "+ 2: two"
    And the conflict message has "your change" with "+ 2: three"

  Scenario: The audit trail has every change with author, reason and difference
    Given operators who have applied two configurations
    Then the audit trail of the configuration is "2 ana because of ana + 2: two,1 ana because of ana + 1: one"

  Scenario: The reported outcomes of concurrent changes are true
    Then in 200 runs of concurrent operators with faults the accepted configurations match the reported outcomes

  Scenario Outline: The check of outcomes detects a store that <fault>
    Then some of 200 runs of concurrent operators on a store that "<fault>" reports a false outcome

    Examples:
      | fault                    |
      | ignores versions         |
      | hides ambiguous outcomes |
