Feature: Reservation quorum
  Votes are written as data centre and answer: `?` has not replied yet; `late`
  has granted, but its ledger lacks what its peers recorded while it was down;
  `contended` has granted, but knows of a contended reservation. The first
  archive of the home counts the program's tokens.

  Scenario Outline: <case>
    When archives vote "<votes>" on a program of "<home>" in "<own>"
    Then the reservation is <decision>

    Examples:
      | case                                       | votes                         | home | own | decision    |
      | a majority grants                          | a yes, b yes, c yes, d ?      | a    | a   | granted     |
      | half is not a majority                     | a yes, b yes, c ?, d ?        | a    | a   | pending     |
      | a majority without the home waits elsewhere | a ?, b yes, c yes, d yes      | a    | b   | pending     |
      | the merged ledgers decide elsewhere while the home is unreachable | a no answer, b yes, c yes, d yes | a | b   | contended |
      | half does not decide while the home is unreachable | a no answer, b yes, c yes, d no answer | a | b   | unavailable |
      | the merged ledgers decide while the archive of the home is incomplete | a late, b yes, c yes, d yes | a | b   | contended |
      | the merged ledgers decide at home while its own archive is down | a no answer, b yes, c yes, d yes | a | a   | contended   |
      | the archive of the home is awaited at home | a ?, b yes, c yes, d yes      | a    | a   | pending     |
      | an isolated data centre grants to its own programs | a yes, b no answer, c no answer, d no answer | a | a | granted |
      | an isolated data centre grants to no other programs | a yes, b no answer, c no answer, d no answer | b | a | unavailable |
      | a home without a registered archive is not required | a yes, b yes, d ?       | c    | a   | granted     |
      | no archive replies                         | a no answer, b no answer      | a    | a   | unavailable |
      | an incomplete archive does not count as a grant | a late, b yes, c ?, d ?       | a    | a   | pending     |
      | a refusal decides once a majority has replied | a no, b yes, c yes, d ?       | a    | a   | refused     |
      | a majority outvotes one refusal            | a yes, b yes, c yes, d no     | a    | a   | granted     |
      | a refusal decides when no other archive replies | a no, b no answer, c no answer, d no answer | a | a | refused |
      | an isolated data centre needs all of its archives | a yes, a no answer, b no answer, c no answer, d no answer | a | a | unavailable |
      | an isolated data centre grants by all of its archives | a yes, a yes, b no answer, c no answer, d no answer | a | a | granted |
      | an incomplete archive does not grant in an isolated data centre | a late, b no answer, c no answer, d no answer | a | a | unavailable |
      | the merged ledgers decide without the archive that counts | a no answer, a yes, b yes, c yes, d ? | a | b | contended |
      | the archive that counts is awaited | a ?, a yes, b yes, c yes, d ? | a    | b   | pending     |
      | the merged ledgers decide on a program that was contended | a yes, b contended, c yes, d ? | a | a | contended |
      | two of three archives grant                | a yes, b yes, c no answer     | a    | a   | granted     |
