Feature: Retention of ledgers on the disks of archives
  A program goes on for longer than the log of its first attempts is kept.

  Background:
    Given archives "a, b, c, d" with 2 replicas per turn

  Scenario Outline: Tokens that a program used early stay used after a loss of power of every archive (<elapsed> s)
    When attempts that reserve 50 tokens and use 50 run sequentially in "a" on a budget of 200
    And an attempt of the program ends without tokens every 50 s for <elapsed> s
    And all archives lose power and restart
    Then another attempt of 50 tokens in "b" fails with tokens_spent

    Examples:
      | elapsed |
      | 100     |
      | 300     |
      | 900     |

  Scenario: Tokens of early turns stay used when the turns expire before a loss of power of every archive
    When turn "t1" finishes in "a"
    And turn "t2" finishes in "b"
    And turn "t3" finishes in "c"
    And turn "t4" finishes in "d"
    And an attempt of the program ends without tokens every 50 s for 300 s
    And all archives lose power and restart
    Then another attempt of 50 tokens in "b" fails with tokens_spent

  Scenario: Tokens that a program used early stay used after two losses of power of every archive
    When attempts that reserve 50 tokens and use 50 run sequentially in "a" on a budget of 200
    And an attempt of the program ends without tokens every 50 s for 100 s
    And all archives lose power and restart
    And an attempt of the program ends without tokens every 50 s for 300 s
    And all archives lose power and restart
    Then another attempt of 50 tokens in "b" fails with tokens_spent

  Scenario: A log segment is kept while its ledgers cannot be written again
    When attempts that reserve 50 tokens and use 50 run sequentially in "a" on a budget of 200
    And an attempt of the program ends without tokens every 50 s for 100 s
    And the disks of archives "a, b, c, d" are full for 60 s
    And all archives lose power and restart
    Then another attempt of 50 tokens in "b" fails with tokens_spent

  Scenario: The disk of an archive does not grow while a program goes on
    When attempts that reserve 50 tokens and use 50 run sequentially in "a" on a budget of 200
    And an attempt of the program ends without tokens every 50 s for 1800 s
    Then archive "a" has at most 5 log files
    When 200000 ms pass
    Then archive "a" has at most 1 log files
