Feature: Whether a reservation counts
  Votes are written as data centre and answer; `?` has not answered yet, `late`
  has granted without knowing what its peers recorded.

  Scenario Outline: <case>
    When archives vote "<votes>" on a program of "<home>" in "<own>"
    Then the reservation is <decision>

    Examples:
      | case                                       | votes                         | home | own | decision    |
      | a majority is enough                       | a yes, b yes, c yes, d ?      | a    | a   | granted     |
      | half is not                                | a yes, b yes, c ?, d ?        | a    | a   | pending     |
      | the home must be among them elsewhere      | a ?, b yes, c yes, d yes      | a    | b   | pending     |
      | nobody counts for a silent home elsewhere  | a no answer, b yes, c yes, d yes | a | b   | unavailable |
      | a home without its archive counts itself   | a no answer, b yes, c yes, d yes | a | a   | granted     |
      | a data centre cut off counts its own       | a yes, b no answer, c no answer, d no answer | a | a | granted |
      | a data centre cut off counts no other's    | a yes, b no answer, c no answer, d no answer | b | a | unavailable |
      | a home whose archive was emptied counts no more | a yes, b yes, d ?       | c    | a   | granted     |
      | no archive at all                          | a no answer, b no answer      | a    | a   | unavailable |
      | an archive that lags does not inform       | a late, b yes, c ?, d ?       | a    | a   | pending     |
      | a refusal with a majority heard            | a no, b yes, c yes, d ?       | a    | a   | refused     |
      | a majority outvotes one refusal            | a yes, b yes, c yes, d no     | a    | a   | granted     |
      | a refusal when nobody else answers         | a no, b no answer, c no answer, d no answer | a | a | refused |
      | three archives, one away                   | a yes, b yes, c no answer     | a    | a   | granted     |
