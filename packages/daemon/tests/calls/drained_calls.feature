Feature: Daemons that drain
  A graceful shutdown interrupts no request in flight.

  Scenario Outline: A call in flight while a daemon drains
    Given a fleet with a program that a first daemon holds
    When a call of the program enters at the <entry> daemon and the first one drains after 3 tokens
    Then the call of the program gets all its 200 tokens
    And the engines ran the call of the program once
    And the first daemon holds no partition

    Examples:
      | entry  |
      | first  |
      | second |

  Scenario Outline: A call at the <entry> daemon that has run for longer than a call waits for a new holder
    Given a fleet whose engines need 40 ms for a token, with a program that a first daemon holds
    When a call of the program enters at the <entry> daemon and the first one drains after 190 tokens
    Then the call of the program gets all its 200 tokens
    And the call of the program had run for more than 6 s when the first daemon drained
    And the engines ran the call of the program once

    Examples:
      | entry  |
      | first  |
      | second |
