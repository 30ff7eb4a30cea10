Feature: Entry VMs learn from archives what the others have in flight

  Entry VMs a, b and c are in north. An event sets the requests of an entry VM at
  the target of a data centre, ends one, or changes how an archive answers.

  Scenario Outline: Guards against <failure>
    Given entry VMs that exchange loads through the archives "<archives>"
    When these events happen to the loads: "<events>"
    Then entry VM <reader> knows <count> requests of others at the target in <place>

    Examples: Reports
      | failure                                            | archives                  | events                                                                  | reader | place | count   |
      | requests of others that are not counted            | north-1                   | a north 3, b north 2, c north 1, wait 300                               | c      | north | 5       |
      | own requests counted twice                         | north-1                   | a north 3, b north 2, wait 300                                          | a      | north | 2       |
      | requests of other data centres that nobody learns  | north-1 south-1           | a south 3, b north 2, wait 1300                                         | b      | south | 3       |
      | requests that have ended                           | north-1                   | a north 3, b north 2, wait 300, a north 0, wait 300                     | b      | north | 0       |
      | requests that have ended in another data centre    | north-1 south-1           | a south 3, b south 2, wait 300, a south 0, wait 300                     | b      | south | 0       |
      | an entry VM's requests that it has ended with      | north-1                   | a north 3, b north 2, wait 300, end a, wait 1700                        | b      | north | 0       |
      | parts of the load at each of two archives          | north-1 north-2           | a north 3, b north 2, c north 1, wait 300                               | c      | north | 5       |
      | requests without an archive in their data centre   | north-1                   | a south 3, b south 2, wait 300                                          | b      | south | unknown |

    Examples: Faults of archives
      | failure                                            | archives                  | events                                                                                   | reader | place | count   |
      | loads that end with the first of two archives      | north-1 north-2           | a north 3, b north 2, wait 300, archive north-1 ended, wait 500                          | b      | north | 3       |
      | loads that end with the second of two archives     | north-1 north-2           | a north 3, b north 2, wait 300, archive north-2 ended, wait 500                          | b      | north | 3       |
      | old loads used after the only archive has ended    | north-1                   | a north 3, b north 2, wait 300, archive north-1 ended, wait 2300                         | b      | north | unknown |
      | an archive that has started again and is not asked | north-1                   | a north 3, b north 2, archive north-1 ended, wait 5000, archive north-1 runs, wait 300   | b      | north | 3       |
      | an older archive that ends the exchange            | north-1 north-2           | archive north-1 older, a north 3, b north 2, wait 300                                    | b      | north | 3       |
      | another older archive that ends the exchange       | north-1 north-2           | archive north-2 older, a north 3, b north 2, wait 300                                    | b      | north | 3       |
      | loads made up where all archives are older         | north-1                   | archive north-1 older, a north 3, b north 2, wait 300                                    | b      | north | unknown |
      | a silent archive that hides the other              | north-1 north-2           | archive north-1 silent, a north 3, b north 2, wait 1300                                  | b      | north | 3       |
      | another silent archive that hides the other        | north-1 north-2           | archive north-2 silent, a north 3, b north 2, wait 1300                                  | b      | north | 3       |
      | old loads while another data centre is silent      | north-1 south-1           | archive south-1 silent, a north 3, a south 1, b north 2, b south 1, wait 150, a north 7, wait 250 | b | north | 7 |

  Scenario Outline: Guards against <failure>
    Given entry VMs that exchange loads through the archives "north-1"
    When these events happen to the loads: "a north 3, b north 2, wait 300"
    And <liars> daemons report to the archives "<report>"
    And these events happen to the loads: "wait 150"
    Then entry VM b knows at least 3 requests of others at the target in north
    And entry VM b takes the target in north for <least> times as slow as others at least
    And entry VM b knows a finite amount of work at the target in north

    Examples: False reports
      | failure                                            | liars | report                                | least |
      | work that is not a number                          | 1     | workMs=NaN                            | 1     |
      | negative work, which makes a target look free      | 1     | workMs=-100000                        | 1     |
      | work without end                                   | 1     | workMs=Infinity                       | 1     |
      | sums of work that no message holds                 | 2     | workMs=3e38                           | 1     |
      | sums of requests that no message holds             | 2     | requests=4294967295                   | 1     |
      | latencies that are not a number taken for fast     | 1     | latencySum=NaN latencyCount=1000      | 1     |
      | latencies without end taken for fast               | 1     | latencySum=Infinity latencyCount=1000 | 1     |
      | negative latencies taken for fast                  | 1     | latencySum=-5000 latencyCount=1000    | 1     |
      | sums of latencies that no message holds            | 2     | latencySum=3e38 latencyCount=1        | 1     |
      | a negative number of latencies                     | 1     | latencySum=5 latencyCount=-5          | 1     |

  Scenario: Guards against messages where learned costs are not used, as on small sites
    Given entry VMs that exchange loads through the archives "north-1 south-1"
    And the site has too few entry VMs for learned costs
    When these events happen to the loads: "a north 3, b north 2, wait 3000"
    Then the archives were asked 0 times for loads

  Scenario: Guards against messages of entry VMs without requests
    Given entry VMs that exchange loads through the archives "north-1 south-1"
    When these events happen to the loads: "a north 0, b north 0, wait 3000"
    Then the archives were asked 0 times for loads

  Scenario: Guards against messages at full rate to data centres without requests
    Given entry VMs that exchange loads through the archives "north-1 south-1"
    When these events happen to the loads: "a north 3, wait 3000"
    Then the archives were asked at most 35 times for loads
