Feature: Orders to engines

  Scenario: Fencing numbers grow over restarts
    Given a desk for orders with an epoch
    When the desk gives 3 orders, restarts and gives 2 more
    Then the fencing numbers of the desk's orders grow

  Scenario Outline: An older desk's order (<checks>)
    Given a desk for orders with an epoch
    When another desk draws an epoch and the engine that <checks> numbers has its order
    And the older desk gives an order
    Then the older desk's order is fenced and the engine carried out 1 order

    Examples:
      | checks  |
      | checks  |
      | ignores |

  Scenario: A lost answer of the draw wastes no epoch and doubles none
    Given a desk for orders with an epoch
    When the desk draws again and the platform loses the answer
    Then the desk's order is carried out with a greater number

  Scenario: Loads keep to the weight store's rate
    Given a desk for orders with an epoch
    When the desk orders 5 loads at once with 3 a minute allowed
    Then the engine carried out 3 loads and the desk's other loads wait 20 s
