Feature: The loads by other daemons are used while they are recent

  A report lists data centre, time and target:requests:work:sum:count.

  Scenario Outline: Guards against <failure>
    When shared loads record "<reports>"
    Then the shared load of target t in north at <now> ms is "<load>"

    Examples:
      | failure                                              | reports                                   | now   | load                                         |
      | a load without a report                              | none                                      | 0     | unknown                                      |
      | a recent report that is not used                     | north 1000 t:4:60:3:2                     | 3000  | 4 requests, 60 ms, ratio 1.5, age 2000 ms    |
      | decisions by a report that has stopped               | north 1000 t:4:60:3:2                     | 3001  | unknown                                      |
      | a free target taken for one without a report         | north 1000 u:4:60:3:2                     | 1100  | 0 requests, 0 ms, ratio unknown, age 100 ms  |
      | division by zero without samples                     | north 1000 t:4:60:0:0                     | 1100  | 4 requests, 60 ms, ratio unknown, age 100 ms |
      | a target of a data centre that does not report       | south 1000 t:4:60:3:2                     | 1100  | unknown                                      |
      | a report that is added to the one before             | north 1000 t:4:60:3:2, north 1100 t:1:9:3:2 | 1100 | 1 requests, 9 ms, ratio 1.5, age 0 ms       |
      | requests kept that the next report does not have     | north 1000 t:4:60:3:2, north 1100 u:1:9:3:2 | 1100 | 0 requests, 0 ms, ratio unknown, age 0 ms   |
      | a report replaced by that of another data centre     | north 1000 t:4:60:3:2, south 1100 t:1:9:3:2 | 1100 | 4 requests, 60 ms, ratio 1.5, age 100 ms    |
