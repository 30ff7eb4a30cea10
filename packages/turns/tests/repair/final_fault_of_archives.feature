Feature: Accepted turns after a disk is lost while all other archives lose power
  The last fault of a day may find an archive that does not count yet or no more.

  Background:
    Given archives "a, b, c" with 2 replicas per turn

  Scenario Outline: Chains go on if the disk of <wiped> is lost <ms> ms after an archive was added
    When a chain "t" of 4 turns is accepted in "a, b"
    And archive "<added>" is added
    And <ms> ms pass
    And a chain "u" of 2 turns is accepted in "<places>"
    And all VMs lose power, "<wiped>" lose their disks, and all but "" restart
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | added | wiped | ms   | places |
      | a2    | a     | 0    | a      |
      | a2    | a     | 100  | a      |
      | a2    | a     | 700  | a      |
      | a2    | a     | 2000 | a      |
      | a2    | b     | 300  | a      |
      | d     | a     | 0    | d, a   |
      | d     | a     | 300  | d, a   |
      | d     | a     | 1000 | d, a   |
      | d     | c     | 300  | d, c   |

  Scenario Outline: Chains go on if the disk of <wiped> is lost <ms> ms after the replacement of an archive began
    When a chain "t" of 4 turns is accepted in "a, b"
    And archive "c" is killed
    And 4000 ms pass
    And archive "c1" is added
    And <ms> ms pass
    And a chain "u" of 2 turns is accepted in "<places>"
    And all VMs lose power, "<wiped>" lose their disks, and all but "c" restart
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | wiped | ms   | places |
      | a     | 600  | a, c   |
      | a     | 900  | c      |
      | b     | 900  | c      |
      | b     | 2000 | a, b   |

  Scenario Outline: Chains go on if the disk of <wiped> is lost <ms> ms after an archive was retired
    Given archives "a, b, c, c2" with 2 replicas per turn
    When a chain "t" of 4 turns is accepted in "a, c"
    And archive "<retired>" retires within 4000 ms and is removed
    And <ms> ms pass
    And a chain "u" of 2 turns is accepted in "c, a"
    And all VMs lose power, "<wiped>" lose their disks, and all but "<retired>" restart
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | retired | wiped | ms   |
      | c       | a     | 0    |
      | c       | a     | 300  |
      | c       | b     | 0    |
      | c       | c2    | 0    |
      | a       | b     | 0    |
      | a       | c     | 1000 |

  Scenario Outline: Chains go on if the disk of <wiped> is lost while archive <cut> was cut off for <ms> ms
    When a chain "t" of 4 turns is accepted in "<cut>, a"
    And archive "<cut>" reaches no other VM
    And <ms> ms pass
    And a chain "u" of 2 turns is accepted in "<cut>, a"
    And all VMs lose power, "<wiped>" lose their disks, and all but "" restart
    And archive "<cut>" reaches the other VMs again
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | cut | wiped | ms   |
      | b   | a     | 0    |
      | b   | a     | 1500 |
      | b   | a     | 7000 |
      | b   | b     | 1500 |
      | b   | c     | 1500 |
      | a   | b     | 1500 |
      | a   | a     | 7000 |

  Scenario Outline: Chains go on if the disk of <wiped> is lost while data centre <cut> was isolated for <ms> ms
    When a chain "t" of 4 turns is accepted in "<cut>, a"
    And data centre "<cut>" is isolated
    And <ms> ms pass
    And turn "u" continues "t-4" in "<cut>", is accepted after 300 ms and must go on
    And turn "v" continues "u" in "<cut>", is accepted after 300 ms and must go on
    And all VMs lose power, "<wiped>" lose their disks, and all but "" restart
    And the isolation ends and 0 ms pass
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | cut | wiped | ms   |
      | b   | a     | 0    |
      | b   | b     | 1500 |
      | b   | c     | 1500 |
      | a   | a     | 7000 |
      | c   | a     | 7000 |

  Scenario Outline: Chains go on if the disk of <wiped> is lost <ms> ms after archive <restarted> had been restarted
    When a chain "t" of 4 turns is accepted in "a, b"
    And archive "<restarted>" is killed
    And 1500 ms pass
    And a chain "u" of 2 turns is accepted in "a, b"
    And archive "<restarted>" is started
    And <ms> ms pass
    And a chain "v" of 2 turns is accepted in "a, c"
    And all VMs lose power, "<wiped>" lose their disks, and all but "" restart
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | restarted | wiped | ms  |
      | b         | a     | 0   |
      | b         | a     | 100 |
      | b         | a     | 800 |
      | b         | c     | 0   |
      | a         | b     | 0   |

  Scenario Outline: Chains go on if the disk of <wiped> is lost while archive <full> takes no new files
    When a chain "t" of 4 turns is accepted in "a, b"
    And the disk of archive "<full>" takes no data and no files
    And 1000 ms pass
    And a chain "u" of 2 turns is accepted in "a, c"
    And all VMs lose power, "<wiped>" lose their disks, and all but "" restart
    And the disk of archive "<full>" takes data and files again
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | full | wiped |
      | b    | a     |
      | c    | a     |
      | a    | c     |

  Scenario Outline: Chains go on if the disk of <wiped> is lost and archives <order> return <ms> ms apart
    When a chain "t" of 4 turns is accepted in "a, b, c"
    And archive "d" is added
    And 1000 ms pass
    And a chain "u" of 4 turns is accepted in "d, a"
    And all VMs lose power, "<wiped>" lose their disks, and archives "<order>" return <ms> ms apart
    Then each stored turn goes on in "a, b, c, d" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | wiped | order      | ms   |
      | a     | a, b, c, d | 500  |
      | a     | a, b, c, d | 3500 |
      | a     | b, c, d, a | 3500 |
      | a     | d, c, b, a | 1500 |
      | b     | b, a, c, d | 3500 |
      | b     | d, a, c, b | 6000 |

  Scenario Outline: A chain with a part on the disk of <wiped> goes on
    When a chain "t" of 2 turns is accepted in "<first>"
    And archive "<away>" reaches no other VM
    And 3000 ms pass
    And turn "u" continues "t-2" in "<second>", is accepted after 300 ms and must go on
    And <ms> ms pass
    And archive "<away>" reaches the other VMs again
    And turn "v" continues "u" in "<second>", is accepted after 300 ms and must go on
    And all VMs lose power, "<wiped>" lose their disks, and all but "" restart
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | first | away | second | wiped | ms    |
      | a     | b    | c      | a     | 0     |
      | a     | b    | c      | c     | 0     |
      | a     | c    | b      | a     | 500   |
      | a     | a    | b      | b     | 0     |
      | a     | a    | b      | c     | 2000  |
      | b     | b    | c      | c     | 30000 |

  Scenario Outline: A chain that is <age> ms old when it is continued survives the loss of the disk of <wiped>, <ms> ms after the next turn
    When turn "t1" finishes in "a"
    And turn "t2" after "t1" finishes in "a"
    And <age> ms pass
    And turn "u" continues "t2" in "<place>", is accepted after <run> ms and must go on
    And <ms> ms pass
    And all VMs lose power, "<wiped>" lose their disks, and all but "" restart
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | age   | place | run  | wiped | ms  |
      | 57500 | a     | 3500 | a     | 0   |
      | 58000 | a     | 3900 | a     | 0   |
      | 58500 | a     | 3900 | a     | 0   |
      | 59000 | a     | 500  | a     | 0   |
      | 59000 | a     | 1500 | a     | 0   |
      | 59000 | a     | 2500 | a     | 0   |
      | 59000 | a     | 3900 | a     | 0   |
      | 59000 | a     | 3900 | a     | 500 |
      | 59500 | a     | 1000 | a     | 0   |
      | 59500 | a     | 2000 | a     | 0   |
      | 59500 | a     | 3000 | a     | 0   |
      | 59500 | a     | 3900 | a     | 0   |
      | 59500 | b     | 3900 | b     | 0   |
      | 59500 | c     | 3900 | c     | 0   |

  Scenario Outline: A chain that is continued in a cut when it is <age> ms old survives the loss of the disk of <wiped>
    When turn "t1" finishes in "a"
    And turn "t2" after "t1" finishes in "a"
    And <age> ms pass
    And data centre "<cut>" is isolated
    And 700 ms pass
    And turn "u" continues "t2" in "<cut>", is accepted after <run> ms and must go on
    And <ms> ms pass
    And all VMs lose power, "<wiped>" lose their disks, and all but "" restart
    And the isolation ends and 0 ms pass
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | age   | cut | run  | wiped | ms   |
      | 56000 | a   | 3900 | a     | 0    |
      | 57000 | a   | 3900 | a     | 0    |
      | 58000 | a   | 1000 | a     | 6000 |
      | 58000 | a   | 3900 | a     | 0    |
      | 58000 | a   | 3900 | a     | 5000 |
      | 58500 | a   | 3900 | a     | 0    |
      | 59000 | a   | 3900 | a     | 0    |
      | 59000 | c   | 3900 | c     | 0    |

  Scenario Outline: A chain that was read from the object API survives the loss of the disk of <wiped>
    Given archives "<down>" are down for 2500 ms
    When a chain "t" of 2 turns is accepted in "<place>"
    And turn "u" continues "t-2" in "<reader>", is accepted after <run> ms and must go on
    And <ms> ms pass
    And all VMs lose power, "<wiped>" lose their disks, and all but "" restart
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | down    | place | reader | run  | wiped | ms   |
      | a, b, c | a     | b      | 300  | a     | 0    |
      | a, b, c | a     | b      | 3000 | a     | 0    |
      | a, b, c | a     | b      | 3000 | b     | 300  |
      | a, b, c | a     | b      | 3900 | c     | 1000 |
      | b, c    | a     | b      | 300  | a     | 0    |
      | b, c    | a     | b      | 3900 | a     | 100  |

  Scenario Outline: A chain that is read from the object API when it is <age> ms old survives the loss of the disk of <wiped>
    Given archives "<down>" are down for 75000 ms
    When turn "t1" finishes in "<place>"
    And turn "t2" after "t1" finishes in "<place>"
    And <age> ms pass
    And turn "u" continues "t2" in "<reader>", is accepted after <run> ms and must go on
    And 12000 ms pass
    And turn "v" continues "u" in "<place>", is accepted after <run> ms and must go on
    And <ms> ms pass
    And all VMs lose power, "<wiped>" lose their disks, and all but "" restart
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | down    | place | reader | age   | run  | wiped | ms   |
      | a, b, c | a     | b      | 59000 | 3900 | a     | 0    |
      | b, c    | a     | b      | 58000 | 3900 | a     | 0    |
      | b, c    | a     | b      | 58000 | 3900 | a     | 9000 |

  # Guards against copies that expire while a turn runs whose archive alone retains them.
  Scenario Outline: A chain that is <age> ms old when it is continued survives the loss of the disk of <wiped> alone, <startMs> ms after the start
    When <startMs> ms pass
    And turn "t1" finishes in "a"
    And turn "t2" after "t1" finishes in "a"
    And <age> ms pass
    And turn "u" continues "t2" in "a", is accepted after <run> ms and must go on
    And the disk of the archive "<wiped>" is lost and 100 ms pass
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | startMs | age   | run  | wiped |
      | 4200    | 59500 | 1000 | a     |
      | 4200    | 59500 | 1500 | a     |
      | 4300    | 59500 | 1000 | a     |
      | 4300    | 59500 | 1500 | a     |
      | 4300    | 59500 | 3900 | a     |

  Scenario Outline: A chain that is continued in a cut of <cut> when it is <age> ms old survives the loss of the disk there alone, <startMs> ms after the start
    When <startMs> ms pass
    And turn "t1" finishes in "a"
    And turn "t2" after "t1" finishes in "a"
    And <age> ms pass
    And data centre "<cut>" is isolated
    And 700 ms pass
    And turn "u" continues "t2" in "<cut>", is accepted after <run> ms and must go on
    And the disk of the archive "<cut>" is lost and 100 ms pass
    And the isolation ends and 0 ms pass
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | startMs | age   | cut | run  |
      | 3600    | 58500 | a   | 1000 |
      | 3600    | 58500 | a   | 3900 |
      | 3600    | 58500 | c   | 1000 |
      | 3600    | 58500 | c   | 3900 |
      | 4200    | 58500 | a   | 500  |
      | 4200    | 58500 | c   | 3900 |
      | 3500    | 62000 | a   | 3900 |
      | 4000    | 62000 | c   | 3900 |

  # Guards against turns that continue one which other archives are about to remove.
  Scenario Outline: A chain that is <age> ms old is continued in a cut of <cut> only if that survives the loss of the disk there, <startMs> ms after the start
    When <startMs> ms pass
    And turn "t1" finishes in "a"
    And turn "t2" after "t1" finishes in "a"
    And <age> ms pass
    And data centre "<cut>" is isolated
    And 700 ms pass
    And turn "u" continues "t2" in "<cut>", is refused or accepted after <run> ms, and then must go on
    And a chain "v" of 1 turns is accepted in "<cut>"
    And the disk of the archive "<cut>" is lost and 100 ms pass
    And the isolation ends and 0 ms pass
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | startMs | age   | cut | run  |
      | 2500    | 69300 | a   | 3900 |
      | 3000    | 68800 | c   | 3900 |
      | 3500    | 68800 | a   | 3900 |
      | 3500    | 69300 | c   | 500  |
      | 4000    | 67300 | a   | 3900 |
      | 4000    | 68800 | a   | 500  |
      | 2000    | 69800 | c   | 3900 |
