Feature: Budgets after archives were lost for good

  # Guards against reservations that one disk alone holds once another one is gone.
  Scenario Outline: A budget holds after <lost> is gone<replaced> and <wiped> loses its disk
    Given archives "a, b, c" with 2 replicas per turn
    When 4 attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a"
    Then at least 4 attempts hold a reservation
    When archive "<lost>" is <gone>
    And 6000 ms pass
    And all entry VMs are killed
    And the disk of the archive "<wiped>" is lost and 35000 ms pass
    And 4 further attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "<wiped>"
    Then at most 0 attempts hold a reservation

    Examples:
      | lost | replaced              | gone                                      | wiped |
      | a    |                       | killed                                    | b     |
      | a    |                       | killed                                    | c     |
      | b    |                       | killed                                    | a     |
      | c    |                       | killed                                    | a     |
      | a    | , replaced by another | permanently lost and "a1" replaces it     | b     |
      | a    | , replaced by another | permanently lost and "a1" replaces it     | c     |
      | b    | , replaced by another | permanently lost and "b1" replaces it     | a     |
      | c    | , replaced by another | permanently lost and "c1" replaces it     | a     |

  # Guards against an archive that is down being presumed lost since its data centre has another one.
  Scenario Outline: A budget holds while <down> is down and <wiped> loses its disk
    Given archives "a, b, b2" with 2 replicas per turn
    When 4 attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a"
    Then at least 4 attempts hold a reservation
    When archive "<down>" is killed
    And all entry VMs are killed
    And 1000 ms pass
    And the disk of the archive "<wiped>" is lost and 5000 ms pass
    And 4 further attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a"
    Then at most 0 attempts hold a reservation
    When archive "<down>" is started
    And 3000 ms pass
    And 4 further attempts of 50 tokens of a program of "a" reserve from a budget of 200 concurrently, alternating over "a"
    Then at most 0 attempts hold a reservation

    Examples:
      | down | wiped |
      | b    | a     |
      | b2   | a     |
