Feature: Targets whose load is not known are not taken for free ones

  Engine "near" is in the own data centre, "away" in another one, each with 8 slots.

  Scenario Outline: Guards against a data centre <failure>
    When others have <near> requests at engine near and <away> at engine away
    Then a request is expected to end at engine near <order> at engine away

    Examples:
      | failure                                                    | near | away    | order      |
      | without reports, to which all requests of a busy one go    | 16   | unknown | before     |
      | without reports, preferred by little load                  | 2    | unknown | before     |
      | that is idle and helps none                                | 16   | 0       | after      |
      | that is as busy and draws requests                         | 16   | 16      | before     |
