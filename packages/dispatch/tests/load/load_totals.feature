Feature: An archive adds up what daemons have in flight at the targets

  A report lists target:requests:work in ms, and :sum:count of relative latencies
  where there are samples. The daemon "reader" reports nothing.

  Scenario Outline: Guards against <failure>
    When load totals receive "<reports>"
    Then the load totals of "<reader>" are "<sums>"

    Examples: Requests
      | failure                                         | reports                                   | reader | sums           |
      | loads without reports                           | none                                      | reader | none           |
      | loads of one daemon only                        | p t:2:30, q t:3:50                        | reader | t:5:80         |
      | own requests counted twice                      | p t:2:30, q t:3:50                        | p      | t:3:50         |
      | targets taken for each other                    | p t:2:30 u:1:9, q u:3:50                  | reader | t:2:30 u:4:59  |
      | reports that add up over time                   | p t:2:30, p t:3:50, p t:1:10              | reader | t:1:10         |
      | requests kept after a daemon has none           | p t:2:30, p -                             | reader | none           |
      | requests kept at a target that was left         | p t:2:30, p u:1:10                        | reader | u:1:10         |
      | one target listed twice, counted once           | p t:2:30 t:1:10                           | reader | t:3:40         |
      | requests that are in flight dropped too soon    | p t:2:30, wait 1500                       | reader | t:2:30         |
      | requests of a daemon that has ended             | p t:2:30, wait 1501                       | reader | none           |
      | the end of all reports with that of one         | p t:2:30, wait 1000, q t:3:50, wait 1000  | reader | t:3:50         |
      | requests of a daemon that has started again     | p t:2:30, wait 1501, p t:1:10             | reader | t:1:10         |

    Examples: Latencies
      | failure                                         | reports                                        | reader | sums            |
      | a first slow sample that decides                | p t:0:0:10:1                                   | reader | t:0:0:12:3      |
      | latencies of one daemon only                    | p t:0:0:10:1, q t:0:0:4:1                      | reader | t:0:0:16:4      |
      | own latencies left out                          | p t:0:0:10:1                                   | p      | t:0:0:12:3      |
      | samples that count for ever                     | p t:0:0:20:4, wait 3000                        | reader | t:0:0:12:4      |
      | targets kept after their last sample            | p t:0:0:20:4, wait 12001                       | reader | none            |
      | division by zero without samples                | p t:1:9:0:0                                    | reader | t:1:9           |

  Scenario: Guards against memory and replies that grow with daemons that have left
    When 1000 daemons report to load totals and leave
    Then the load totals of "reader" are "none"

  Scenario: Guards against a report without end
    When a daemon reports 100000 targets to load totals
    Then the load totals of "reader" have at most 2000 targets

  Scenario: Guards against sums that differ from the reports of those that remain
    Then load totals equal the sums of the last reports, whatever daemons report and when
