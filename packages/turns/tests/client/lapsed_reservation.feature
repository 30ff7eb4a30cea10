Feature: Reservations of attempts that sent nothing to a target lapse
  Nobody but its process knows whether an attempt has sent its request. One that is
  confirmed, when the request is sent, counts until it is settled; another one counts
  for the time of its call.

  Background:
    Given archives "a, b, c" with 2 replicas per turn

  # Guards against tokens that are held for good by a process that was killed before it sent a request.
  Scenario Outline: Tokens of an attempt that was not confirmed are free after its time, <fault>
    When an attempt of 150 tokens in "a" on a budget of 200 reserves for 4500 ms
    And all entry VMs are killed
    And <fault>
    And 4600 ms pass
    Then attempt "next" of 200 tokens in "<entry>" is admitted to the budget of 200

    Examples:
      | fault                                                              | entry |
      | 0 ms pass                                                          | a     |
      | 0 ms pass                                                          | b     |
      | archives "a, b, c" lose power and restart, "" with empty disks     | a     |
      | archives "a, b, c" lose power and restart, "a" with empty disks    | a     |
      | archives "a, b, c" lose power and restart, "b" with empty disks    | c     |
      | archives "b" lose power and restart, "b" with empty disks          | a     |

  Scenario: A turn that the tokens of such an attempt leave no room for may be sent again
    When an attempt of 150 tokens in "a" on a budget of 200 reserves for 4500 ms
    And all entry VMs are killed
    And 1000 ms pass
    Then another attempt of 150 tokens in "a" fails with limit_reached

  # Guards against tokens that are granted twice.
  Scenario Outline: Tokens of an attempt that was confirmed stay reserved, <fault>
    When an attempt of 150 tokens in "a" on a budget of 200 reserves for 4500 ms
    And the attempt is confirmed
    And all entry VMs are killed
    And <fault>
    And 10000 ms pass
    Then another attempt of 150 tokens in "<entry>" fails with tokens_spent

    Examples:
      | fault                                                              | entry |
      | 0 ms pass                                                          | a     |
      | 0 ms pass                                                          | c     |
      | archives "a, b, c" lose power and restart, "" with empty disks     | a     |
      | archives "a, b, c" lose power and restart, "a" with empty disks    | a     |
      | archives "a, b, c" lose power and restart, "b" with empty disks    | b     |
      | archives "a, b, c" lose power and restart, "c" with empty disks    | c     |
      | archives "a" lose power and restart, "a" with empty disks          | b     |

  Scenario: An attempt that was confirmed after its time counts
    When an attempt of 150 tokens in "a" on a budget of 200 reserves for 100 ms
    And 500 ms pass
    And the attempt is confirmed
    And all entry VMs are killed
    And 10000 ms pass
    Then another attempt of 150 tokens in "a" fails with tokens_spent

  # Guards against a program that ends while its attempts in progress hold the rest of its budget.
  Scenario Outline: A turn that confirmed attempts in progress leave no room for may be sent again, <fault>
    When an attempt of 150 tokens in "a" on a budget of 200 reserves for 4500 ms
    And the attempt is confirmed
    And <fault>
    And 1000 ms pass
    Then attempt "early" of 150 tokens in "<entry>" fails with limit_reached
    When 10000 ms pass
    Then attempt "late" of 150 tokens in "<entry>" fails with tokens_spent

    Examples:
      | fault                                                          | entry |
      | 0 ms pass                                                      | a     |
      | 0 ms pass                                                      | c     |
      | all entry VMs are killed                                       | b     |
      | archives "a, b, c" lose power and restart, "b" with empty disks | a     |

  Scenario: A turn that attempts of a cut data centre leave no room for may be sent again
    Given data centre "a" is isolated
    When an attempt of 150 tokens in "a" on a budget of 200 reserves for 4500 ms
    And the attempt is confirmed
    And 1500 ms pass
    Then attempt "early" of 150 tokens in "b" fails with limit_reached
    When 10000 ms pass
    Then attempt "late" of 150 tokens in "b" fails with tokens_spent

  # Guards against tokens that a killed process holds for good in the object API.
  Scenario Outline: Tokens of an attempt in <entry> that was not confirmed while <home> was cut off are free, <fault>
    Given data centre "a" is isolated
    When an attempt of 150 tokens in "<entry>" on a budget of 200 reserves for 4500 ms
    And all entry VMs are killed
    And 1000 ms pass
    And <fault>
    And the isolation ends and 10000 ms pass
    Then attempt "next" of 200 tokens in "<next>" is admitted to the budget of 200

    Examples:
      | entry | home | next | fault                                                           |
      | b     | a    | a    | 0 ms pass                                                       |
      | b     | a    | b    | 0 ms pass                                                       |
      | b     | a    | c    | archives "a, b, c" lose power and restart, "" with empty disks  |
      | b     | a    | a    | archives "a, b, c" lose power and restart, "a" with empty disks |
      | b     | a    | b    | archives "a, b, c" lose power and restart, "a" with empty disks |
      | b     | a    | c    | archives "a, b, c" lose power and restart, "b" with empty disks |
      | a     | a    | a    | 0 ms pass                                                       |
      | a     | a    | b    | 0 ms pass                                                       |
      | a     | a    | c    | archives "a, b, c" lose power and restart, "" with empty disks  |

  # Guards against tokens that are granted twice.
  Scenario Outline: Tokens of an attempt in <entry> that was confirmed while <home> was cut off stay reserved, <fault>
    Given data centre "a" is isolated
    When an attempt of 150 tokens in "<entry>" on a budget of 200 reserves for 4500 ms
    And the attempt is confirmed
    And all entry VMs are killed
    And 1000 ms pass
    And <fault>
    And <state> and 10000 ms pass
    Then attempt "next" of 150 tokens in "<next>" fails with tokens_spent

    Examples:
      | entry | home | next | fault                                                           | state              |
      | b     | a    | a    | 0 ms pass                                                       | the isolation ends |
      | b     | a    | b    | 0 ms pass                                                       | the isolation ends |
      | b     | a    | c    | archives "a, b, c" lose power and restart, "" with empty disks  | the isolation ends |
      | b     | a    | a    | archives "a, b, c" lose power and restart, "a" with empty disks | the isolation ends |
      | b     | a    | c    | archives "a, b, c" lose power and restart, "b" with empty disks | the isolation ends |
      | b     | a    | b    | archives "a, b, c" lose power and restart, "c" with empty disks | the isolation ends |
      | a     | a    | a    | 0 ms pass                                                       | the isolation ends |
      | a     | a    | b    | archives "a, b, c" lose power and restart, "" with empty disks  | the isolation ends |
      | a     | a    | b    | archives "a, b, c" lose power and restart, "a" with empty disks | the isolation ends |
      | a     | a    | c    | archives "a, b, c" lose power and restart, "b" with empty disks | the isolation ends |

  Scenario Outline: An attempt in <entry> counts in <next> while <home> is cut off, whether it was confirmed or not
    Given data centre "a" is isolated
    When an attempt of 150 tokens in "<entry>" on a budget of 200 reserves for 4500 ms
    And 10000 ms pass
    Then attempt "next" of 150 tokens in "<next>" fails with <error>
    When the attempt is confirmed
    Then attempt "last" of 150 tokens in "<next>" fails with <error>

    Examples:
      | entry | home | next | error               |
      | a     | a    | b    | tokens_spent        |
      | b     | a    | a    | archive_unavailable |

  Scenario: A settlement ends a reservation that may lapse
    When an attempt of 150 tokens in "a" on a budget of 200 reserves for 4500 ms
    And the attempt is confirmed
    And the attempt ends without tokens
    Then attempt "next" of 200 tokens in "b" is admitted to the budget of 200

  Scenario: A confirmation that archives do not acknowledge takes no longer than 100 ms
    When an attempt of 150 tokens in "a" on a budget of 200 reserves for 4500 ms
    And entry VM "a" reaches only archives "none"
    Then the attempt is confirmed within 105 ms

  # Guards against tokens that are granted twice.
  Scenario: Tokens of an attempt that only the object API has as confirmed stay reserved while the archives do not reach it
    When an attempt of 150 tokens in "d" on a budget of 200 reserves for 4500 ms
    And entry VM "d" reaches only archives "none"
    And the object API is away from all data centres but "d"
    And the attempt is confirmed
    And 10000 ms pass
    Then attempt "next" of 150 tokens in "a" fails with limit_reached
    When the object API is back and 10000 ms pass
    Then attempt "last" of 150 tokens in "a" fails with tokens_spent
