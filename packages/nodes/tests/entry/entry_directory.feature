Feature: Entry VMs of a site, as registered

  Scenario Outline: A registration with <content> costs only itself
    Given an entry VM "own" that has listed the entry VMs "a, b"
    When the registration of entry VM "a" becomes one with <content>
    Then the listed entry VMs are "b, own"
    And it has reported the entry VM "a" 1 times
    When the registration of entry VM "a" becomes one with <content>
    Then it has reported the entry VM "a" 1 times
    When the registration of entry VM "a" becomes sound again
    Then the listed entry VMs are "a, b, own"

    Examples:
      | content                        |
      | no JSON text                   |
      | null                           |
      | 100000 nested arrays           |
      | no relay address               |
      | a relay address at port 99999  |
      | a relay address of words       |
      | an address at port 0           |
      | an address at host ...         |
      | the name of the own one        |

  Scenario: A malformed entry under the own name changes nothing
    Given an entry VM "own" that has listed the entry VMs "a, b"
    When the registration of entry VM "own" becomes one with no JSON text
    Then the listed entry VMs are "a, b, own"
