Feature: Requests are placed by learned costs and by the load of the whole fleet

  The load replays programs of four turns through many daemons before few engines.
  Each scenario fails with the decision switched off.

  Scenario Outline: More programs end in time before <engines> engines while <load>
    When <programs> programs a second come through <daemons> daemons before <engines> engines of <slots> slots, the slowest <spread> times as slow as the fastest
    Then with learned costs at least <more> of 100 programs more end in time than without

    Examples:
      | load                        | programs | daemons | engines | slots | spread | more |
      | engines differ in speed     | 80       | 57      | 34      | 8     | 2.2    | 25   |
      | slots are nearly all in use | 150      | 57      | 34      | 8     | 2.2    | 35   |
      | all engines are as fast     | 110      | 57      | 34      | 8     | 1      | 30   |
      | daemons are few             | 110      | 17      | 34      | 8     | 2.2    | 35   |

  Scenario: Without reports, programs go as without learned costs
    When 110 programs a second come through 57 daemons before 34 engines of 8 slots, the slowest 2.2 times as slow as the fastest, and no report arrives
    Then with learned costs as many programs end in time as without

  Scenario: Reports that stop in the middle cost no more than having none
    When 110 programs a second come through 57 daemons before 34 engines of 8 slots, the slowest 2.2 times as slow as the fastest, and reports stop after 4 s
    Then with learned costs at least 0 of 100 programs more end in time than without
