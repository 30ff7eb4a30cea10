Feature: Settlements outlast the process that owes them
  An attempt that ends without a stored turn frees its tokens before its caller
  learns of the end, so that the end of its entry VM cannot keep them.

  Background:
    Given archives "a, b, c" with 2 replicas per turn

  Scenario Outline: Tokens of an attempt that was rejected are free although its entry VM is killed, with archives "<down>" down
    Given archives "<down>" are killed, which entry VMs have noticed
    When an attempt of 150 tokens in "a" on a budget of 200 is rejected after its reservation
    And all entry VMs are killed
    Then attempt "next" of 200 tokens in "a" is admitted to the budget of 200

    Examples:
      | down |
      |      |
      | b    |
      | c    |

  Scenario: The tokens that an attempt used before its stream broke off stay used
    When an attempt of 150 tokens in "a" on a budget of 200 breaks off after 60 tokens
    And all entry VMs are killed
    Then another attempt of 150 tokens in "a" fails with tokens_spent
    And attempt "less" of 140 tokens in "a" is admitted to the budget of 200

  Scenario: Tokens that too few archives could grant are free although the entry VM is killed
    Given entry VM "a:1" reaches only archives "a"
    And the object API is away
    Then an attempt of 150 tokens in "a:1" on a budget of 200 fails with archive_unavailable
    When entry VM "a:1" is killed
    And the object API is back
    Then attempt "next" of 200 tokens in "b" is admitted to the budget of 200

  Scenario: Tokens of an attempt in an isolated home are free although its disk and the entry VMs are lost
    Given data centre "a" is isolated
    When an attempt of 150 tokens in "a" on a budget of 200 is rejected after its reservation
    And all entry VMs are killed
    And archive "a" restarts on an empty disk
    And the isolation ends and 4000 ms pass
    Then attempt "next" of 200 tokens in "a" is admitted to the budget of 200

  Scenario Outline: An entry VM that stops leaves what archives do not reply to in the object API
    When an attempt of 150 tokens in "a" on a budget of 200 reserves
    And entry VM "a" reaches only archives "<reached>"
    And the object API is away
    And the attempt ends without tokens
    And the object API is back
    And entry VM "a" flushes its settlements and is killed
    And 2000 ms pass
    Then attempt "next" of 200 tokens in "c" is admitted to the budget of 200

    Examples:
      | reached |
      | c       |
      | none    |

  # Guards against a stop that waits for silent archives, or for none, and then ends without a write.
  Scenario Outline: An entry VM that stops while archives fall silent leaves its settlements in the object API
    When an attempt of 150 tokens in "a" on a budget of 200 reserves
    And entry VM "a" reaches only archives "<reached>"
    And the attempt ends without tokens
    And <elapsed> ms pass
    And entry VM "a" flushes its settlements and is killed
    And 2000 ms pass
    Then attempt "next" of 200 tokens in "c" is admitted to the budget of 200

    Examples:
      | reached | elapsed |
      | c       | 0       |
      | none    | 0       |
      | none    | 200     |

  # Guards against waits for archives that are cut off and send no reply.
  Scenario Outline: Tokens of an attempt that ends as archives fall silent are free although its entry VM is killed
    When an attempt of 150 tokens in "a" on a budget of 200 reserves
    And entry VM "a" reaches only archives "<reached>"
    And the attempt ends without tokens
    And all entry VMs are killed
    And 2000 ms pass
    Then attempt "next" of 200 tokens in "c" is admitted to the budget of 200

    Examples:
      | reached |
      | c       |
      | none    |

  Scenario: An entry VM that reaches neither archives nor the object API waits no longer than 100 ms
    When an attempt of 150 tokens in "a" on a budget of 200 reserves
    And entry VM "a" reaches only archives "none"
    And the object API is away
    Then the attempt ends without tokens within 105 ms

  Scenario: An attempt whose reservation no archive can have recorded writes nothing to the object API
    Given entry VM "a" reaches only archives "none"
    And 3000 ms pass with attempts in "a"
    Then 20 attempts in "a" that may wait for 50 ms write nothing to the object API

  # Guards against settlements that take the room of reservations in the object API.
  Scenario: A reservation is recorded and settled in the object API beside many settlements
    Given data centre "a" is isolated
    When 6000 attempts of other programs in "a" end without tokens at once
    And an attempt of 150 tokens in "a" on a budget of 200 reserves
    And 6000 attempts of other programs in "a" end without tokens at once
    And the attempt ends without tokens
    And all entry VMs are killed
    And archive "a" restarts on an empty disk
    And the isolation ends and 4000 ms pass
    Then attempt "next" of 200 tokens in "a" is admitted to the budget of 200

  # Guards against reservations that are recorded after their attempt has been settled.
  Scenario: An attempt whose wait is aborted while a ballot runs leaves no reservation in the object API
    Given data centre "a" is cut off, which no entry VM has noticed
    When an attempt of 150 tokens in "a" on a budget of 200 ends its wait after 100 ms
    And 1000 ms pass
    And all entry VMs are killed
    And archive "a" restarts on an empty disk
    And the isolation ends and 4000 ms pass
    Then attempt "next" of 200 tokens in "a" is admitted to the budget of 200
