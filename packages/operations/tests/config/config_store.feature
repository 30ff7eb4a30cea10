Feature: Changes of the operators' text

  Scenario Outline: A change of the text is told truthfully: <fault>
    Given operators who have accepted two texts
    When an operator changes the text while the store meets "<fault>"
    Then the operator is told "<told>" of the change
    And the accepted texts agree with what operators were told

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
    Given operators who have accepted two texts
    When an operator changes the text while the store meets "older base version"
    Then the conflict message has "changed since" with "+ 2: two"
    And the conflict message has "your change" with "+ 2: three"

  Scenario: The audit trail has every change with who, why and the difference
    Given operators who have accepted two texts
    Then the audit trail of the text is "2 ana because of ana + 2: two,1 ana because of ana + 1: one"

  Scenario: Racing operators are both told the truth
    Then in 200 runs of racing operators with faults the accepted texts agree with what they were told

  Scenario Outline: The check of operators notices a store that <fault>
    Then some of 200 runs of racing operators over a store that "<fault>" breaks the agreement

    Examples:
      | fault                    |
      | ignores versions         |
      | hides ambiguous outcomes |
