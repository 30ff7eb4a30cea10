Feature: Streams are passed on only once their reservations are confirmed
  A reservation lapses unless it is confirmed, and the tokens of a stream that is
  passed on must count for all later attempts.

  # Guards against tokens that are granted twice, since a confirmation did not arrive.
  Scenario Outline: Attempts count that begin their streams at a VM that reaches "<reached>" of "<archives>"
    Given archives "<archives>" with 2 replicas per turn
    When attempt "s1" of 100 tokens in "b:1" of home "a" reserves on 200 for 4500 ms
    And attempt "s2" of 100 tokens in "b:1" of home "a" reserves on 200 for 4500 ms
    And entry VM "b:1" reaches only archives "<reached>"
    And attempts "s1, s2" may pass on their streams
    And 1000 ms pass
    And all entry VMs are killed
    And 4000 ms pass
    Then attempt "next" of 100 tokens in "a" fails with tokens_spent

    Examples:
      | archives   | reached |
      | a, b, c    | b       |
      | a, b, c    | b, c    |
      | a, b, c    | none    |
      | a, b, c, d | b       |
      | a, b, c, d | b, c    |
      | a, b, c, d | b, c, d |

  Scenario Outline: Attempts count that begin their streams after a succession, <beforeMs> and <afterMs> ms
    Given archives "a, b, b1, c" with 2 replicas per turn
    When archive "b" is killed
    And <beforeMs> ms pass
    And attempt "s1" of 100 tokens in "c" of home "a" reserves on 200 for 4500 ms
    And attempt "s2" of 100 tokens in "c" of home "a" reserves on 200 for 4500 ms
    And <afterMs> ms pass
    And attempts "s1, s2" may pass on their streams
    And all entry VMs are killed
    And 5000 ms pass
    Then attempt "next" of 100 tokens in "a" fails with tokens_spent

    Examples:
      | beforeMs | afterMs |
      | 5000     | 3000    |
      | 6000     | 1000    |
      | 7000     | 1000    |

  Scenario Outline: Attempts count that begin their streams at a VM that reaches "<reached>" while the archive of their home is down
    Given archives "a, b, c" with 2 replicas per turn
    And archives "a" are killed, which entry VMs have noticed
    When attempt "s1" of 100 tokens in "b:1" of home "a" reserves on 200 for 4500 ms
    And attempt "s2" of 100 tokens in "b:1" of home "a" reserves on 200 for 4500 ms
    And entry VM "b:1" reaches only archives "<reached>"
    And attempts "s1, s2" may pass on their streams
    And 1000 ms pass
    And all entry VMs are killed
    And 4000 ms pass
    Then attempt "next" of 100 tokens in "c" fails with tokens_spent

    Examples:
      | reached |
      | b       |
      | c       |
      | none    |

  Scenario Outline: Attempts count that begin their streams at a VM of an isolated home that reaches "<reached>"
    Given archives "a, b, c" with 2 replicas per turn
    And data centre "a" is isolated
    When attempt "s1" of 100 tokens in "a:1" of home "a" reserves on 200 for 4500 ms
    And attempt "s2" of 100 tokens in "a:1" of home "a" reserves on 200 for 4500 ms
    And entry VM "a:1" reaches only archives "<reached>"
    And attempts "s1, s2" may pass on their streams
    And 1000 ms pass
    And all entry VMs are killed
    And the isolation ends and 5000 ms pass
    Then attempt "next" of 100 tokens in "a" fails with tokens_spent

    Examples:
      | reached |
      | a       |
      | none    |

  # Guards against confirmations that an isolated home does not learn of.
  Scenario Outline: Attempts count in their isolated home that begin their streams at a VM that does not reach its counter
    Given archives "a, a1, b, c" with 2 replicas per turn
    And entry VM "b:1" reaches only archives "a1, b, c"
    When attempt "s1" of 100 tokens in "b:1" of home "a" reserves on 200 for 4500 ms
    And attempt "s2" of 100 tokens in "b:1" of home "a" reserves on 200 for 4500 ms
    And attempts "s1, s2" may pass on their streams
    And <ms> ms pass
    And all entry VMs are killed
    And data centre "a" is isolated
    And 5000 ms pass
    Then attempt "next" of 100 tokens in "a:2" is not admitted to the budget of 200

    Examples:
      | ms   |
      | 0    |
      | 3000 |

  Scenario Outline: Attempts count in their isolated home whose disk stalled as they reserved, "<archives>"
    Given archives "<archives>" with 2 replicas per turn
    When the disk of archive "a" is stalled
    And attempt "s1" of 100 tokens in "b:1" of home "a" reserves on 200 for 19500 ms
    And the stall of archive "a" ends
    And 5000 ms pass
    And the disk of archive "a" is stalled
    And attempt "s2" of 100 tokens in "b:1" of home "a" reserves on 200 for 19500 ms
    And the stall of archive "a" ends
    And attempts "s1, s2" may pass on their streams
    And 2000 ms pass
    And all entry VMs are killed
    And data centre "a" is isolated
    And 22000 ms pass
    Then attempt "next" of 100 tokens in "a:2" is not admitted to the budget of 200

    Examples:
      | archives   |
      | a, b, c    |
      | a, b, c, d |

  Scenario Outline: Attempts count in their isolated home whose counter was down as they reserved, back <gap> ms before their streams
    Given archives "a, a1, b, c" with 2 replicas per turn
    And archives "a" are killed, which entry VMs have noticed
    When attempt "s1" of 100 tokens in "b:1" of home "a" reserves on 200 for 9500 ms
    And attempt "s2" of 100 tokens in "b:1" of home "a" reserves on 200 for 9500 ms
    And archive "a" is started
    And <gap> ms pass
    And attempts "s1, s2" may pass on their streams
    And data centre "a" is isolated
    And all entry VMs are killed
    And 12000 ms pass
    Then attempt "next" of 100 tokens in "a:2" is not admitted to the budget of 200

    Examples:
      | gap  |
      | 1000 |
      | 4000 |

  # Guards against confirmations at two archives of five.
  Scenario Outline: A confirmed attempt counts while <down> of "<archives>" are down
    Given archives "<archives>" with 2 replicas per turn
    When an attempt of 150 tokens in "a" on a budget of 200 reserves for 4500 ms
    And the attempt is confirmed
    And all entry VMs are killed
    And archives "<down>" are killed, which entry VMs have noticed
    And 3000 ms pass
    Then attempt "next" of 150 tokens in "b" fails with tokens_spent

    Examples:
      | archives            | down |
      | a, b, c, d, e       | a, c |
      | a, a1, b, b1, c, c1 | a, c |

  # Guards against streams whose tokens nobody else can know of.
  Scenario Outline: Attempts in a cut data centre pass on no streams while the object API is away, "<archives>"
    Given archives "<archives>" with 2 replicas per turn
    When attempt "s1" of 100 tokens in "b" of home "a" reserves on 200 for 4500 ms
    And attempt "s2" of 100 tokens in "b" of home "a" reserves on 200 for 4500 ms
    And data centre "b" is cut off, which no entry VM has noticed
    And the object API is away
    Then attempts "s1, s2" may not pass on their streams within 2500 ms

    Examples:
      | archives   |
      | a, b, c    |
      | a, b, c, d |

  # Guards against a program that an archive that is down keeps from going on.
  Scenario Outline: Tokens of an attempt whose home archive is down are free after its entry VM was killed, "<archives>", <then>
    Given archives "<archives>" with 2 replicas per turn
    And archives "a" are killed, which entry VMs have noticed
    When an attempt of 150 tokens in "b" on a budget of 200 reserves for 4500 ms
    And all entry VMs are killed
    And <then>
    And 10000 ms pass
    Then attempt "next" of 200 tokens in "c" is admitted to the budget of 200

    Examples:
      | archives   | then                   |
      | a, b, c    | 0 ms pass              |
      | a, b, c    | archive "a" is started |
      | a, b, c, d | 0 ms pass              |
      | a, b, c, d | archive "a" is started |

  # Guards against a settlement that is written once only.
  Scenario: A rejected attempt in the object API is settled there once that is back
    Given archives "a, b, c" with 2 replicas per turn
    And data centre "a" is isolated
    When an attempt of 150 tokens in "a" on a budget of 200 reserves for 4500 ms
    And the object API is away
    And the attempt ends without tokens
    And the object API is back
    And 10000 ms pass
    Then attempt "next" of 200 tokens in "b" is admitted to the budget of 200
