Feature: Exchange of crash records with archives

  Scenario: An exchange that is woken often keeps one listener of its signal
    When an exchange of crash records is woken 20 times, every 30 ms
    Then its signal never has more than 1 listener
