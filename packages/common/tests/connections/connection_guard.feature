Feature: Connections of clients stay within the limits of the VM

  Scenario Outline: Guards against <failure>
    Given a connection guard for <most> connections, 3 requests of one and 5 of all
    When the guard sees "<events>"
    Then the guard answers "<answers>"
    And the guard counts <open> connections and <pending> requests

    Examples: Replacement of idle connections
      | failure                                        | most | events                                                       | answers                                 | open | pending |
      | a refusal while there is room                  | 2    | open a, open b                                               | accepted, accepted                      | 2    | 0       |
      | replacement before a client can send its head  | 2    | open a, open b, wait 999, open c                             | accepted, accepted, refused             | 2    | 0       |
      | idle connections that keep others out          | 2    | open a, open b, wait 1000, open c                            | accepted, accepted, accepted for a      | 2    | 0       |
      | the end of a connection with a request         | 2    | open a, request a, open b, wait 1000, open c                 | accepted, kept, accepted, accepted for b | 2    | 1       |
      | more connections than allowed, if all are busy | 2    | open a, open b, request a, request b, wait 9999, open c      | accepted, accepted, kept, kept, refused | 2    | 2       |
      | the end of the one that was answered last      | 2    | open a, open b, wait 500, request a, end a, wait 500, open c | accepted, accepted, kept, accepted for b | 2    | 0       |
      | idle time that begins with the first response  | 1    | open a, request a, request a, end a, wait 1000, end a, open b | accepted, kept, kept, refused           | 1    | 0       |

    Examples: Requests sent ahead
      | failure                                            | most | events                                                                                                              | answers                                                                           | open | pending |
      | memory for requests that one client sends ahead    | 9    | open a, request a, request a, request a, request a                                                                  | accepted, kept, kept, kept, closed                                                | 1    | 4       |
      | a limit that counts answered requests              | 9    | open a, request a, request a, request a, end a, request a                                                           | accepted, kept, kept, kept, kept                                                  | 1    | 3       |
      | memory for requests that many clients send ahead   | 9    | open a, open b, request a, request a, request a, request b, request b, request b                                    | accepted, accepted, kept, kept, kept, kept, kept, closed                          | 2    | 6       |
      | an only request closed for those of others         | 9    | open a, open b, open c, request a, request a, request a, request b, request b, request c                            | accepted, accepted, accepted, kept, kept, kept, kept, kept, kept                  | 3    | 6       |
      | connections accepted while requests fill the memory | 9    | open a, open b, request a, request a, request a, request b, request b, wait 1000, open c                            | accepted, accepted, kept, kept, kept, kept, kept, refused                         | 2    | 5       |

    Examples: Counts after clients have left
      | failure                                           | most | events                                                                   | answers                                | open | pending |
      | requests counted after their connection closed    | 9    | open a, request a, request a, remove a                                   | accepted, kept, kept                   | 0    | 0       |
      | a response that ends after its connection closed  | 9    | open a, request a, remove a, end a                                       | accepted, kept                         | 0    | 0       |
      | a negative count after a second end               | 9    | open a, open b, request a, request b, end a, end a                       | accepted, accepted, kept, kept         | 2    | 1       |
      | a connection removed twice                        | 9    | open a, request a, open b, request b, remove a, remove a                 | accepted, kept, accepted, kept         | 1    | 1       |
      | a request read from a connection that was replaced | 1    | open a, wait 1000, open b, request a, end a                              | accepted, accepted for a, kept         | 1    | 0       |
      | no room after a crowd has left                    | 2    | open a, open b, request a, request b, remove a, remove b, open c, open d | accepted, accepted, kept, kept, accepted, accepted | 2    | 0       |

  Scenario Outline: Guards against <failure>, in the limits for <memory> MB and <descriptors> descriptors
    Then a VM of <memory> MB and <descriptors> descriptors accepts <connections> connections and <pending> requests at a time

    Examples:
      | failure                                      | memory | descriptors | connections | pending |
      | too little memory on the smallest VM         | 178    | 2212        | 890         | 2670    |
      | too few descriptors with much memory         | 602    | 2212        | 1106        | 9030    |
      | memory that is not used                      | 602    | 10250       | 3010        | 9030    |
      | too few descriptors where none are stated    | 602    | no          | 1100        | 9030    |
      | a VM that accepts no connection at all       | 1      | 1           | 1           | 15      |
