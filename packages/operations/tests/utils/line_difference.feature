Feature: Line differences

  Scenario Outline: Differences of "<before>" and "<after>"
    Then the line differences of "<before>" and "<after>" are "<differences>"

    Examples:
      | before  | after     | differences          |
      | a b c   | a b c     |                      |
      | a b c   | a x c     | - 2: b/+ 2: x        |
      | a b c   | a c       | - 2: b               |
      | a c     | a b c d   | + 2: b/+ 4: d        |
      |         | a         | + 1: a               |
      | a b a b | b a b a   | - 1: a/+ 4: a        |

  Scenario: Differences transform the old text into the new one
    Then line differences rebuild the new text for any two texts
