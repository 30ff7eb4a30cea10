Feature: Exchange of crash records with archives

  Scenario: An exchange that is woken often keeps one listener of its signal
    When an exchange of crash records is woken 20 times, every 30 ms
    Then its signal never has more than 1 listener

  Scenario: An archive that restarts learns of leaving targets from an entry VM that has learned of them from others
    Given an exchange whose entry VM has learned from others that a target with a limit of 2 is leaving
    When the archive of the exchange has restarted
    Then the exchange tells the archive once that the target is leaving, and no limit

  Scenario Outline: An entry VM that starts together with the archives waits for their crash records (<reply>)
    When an exchange starts whose archive replies after <reply> ms
    Then the exchange has loaded after <loaded> ms, and not before

    Examples:
      | reply  | loaded |
      | 0      | 0      |
      | 700    | 700    |
      | 100000 | 2000   |

  Scenario Outline: An entry VM without an archive waits for the objects with crash records (<reply>, <read>)
    When an exchange starts whose archive replies after <reply> ms, and whose objects are read after <read> ms
    Then the exchange has loaded after <loaded> ms, and not before

    Examples:
      | reply  | read   | loaded |
      | 100000 | 500    | 2000   |
      | 100000 | 6000   | 6000   |
      | 700    | 100000 | 700    |
      | 6000   | 100000 | 6000   |
