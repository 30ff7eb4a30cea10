Feature: Order sender

  Scenario: Fencing numbers increase over restarts
    Given an order sender with an epoch
    When the order sender sends 3 orders, restarts and sends 2 more
    Then the fencing numbers of the sent orders increase

  Scenario Outline: An order of an outdated sender is fenced (<checks>)
    Given an order sender with an epoch
    When another order sender acquires an epoch and the engine that <checks> numbers has its order
    And the outdated order sender sends an order
    Then the outdated sender's order is fenced and the engine executed 1 order

    Examples:
      | checks  |
      | checks  |
      | ignores |

  Scenario: An allocation whose answer is lost neither skips nor reuses an epoch
    Given an order sender with an epoch
    When the order sender acquires an epoch again and the platform loses the answer
    Then the sent order is executed with a greater number

  Scenario: Model loads are limited to the weight store's rate
    Given an order sender with an epoch
    When the order sender orders 5 loads at once with 3 per minute allowed
    Then the engine executed 3 loads and the other loads wait 20 s
