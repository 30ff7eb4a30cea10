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
