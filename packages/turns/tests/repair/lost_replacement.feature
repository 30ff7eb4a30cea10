Feature: Turns after the loss of an archive that has just been replaced

  # Guards against a replacement that waits for the archive that it replaced.
  Scenario Outline: Turns go on if a replacement restarts <ms> ms after it was added
    Given archives "a, b, c" with 2 replicas per turn
    When 3 turns "t" are stored by "a, b"
    And archive "c" is killed
    And 4000 ms pass
    And archive "c1" is added
    And <ms> ms pass
    And archive "c1" is killed
    And 1000 ms pass
    And archive "c1" is started
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | ms   |
      | 300  |
      | 1000 |
      | 1500 |
      | 2000 |
      | 2500 |

  Scenario Outline: Turns go on if all VMs lose power <ms> ms after a replacement was added
    Given archives "a, b, c" with 2 replicas per turn
    When 3 turns "t" are stored by "a, b"
    And archive "c" is killed
    And 4000 ms pass
    And archive "c1" is added
    And <ms> ms pass
    And all VMs lose power, "" lose their disks, and all but "c" restart
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | ms   |
      | 1000 |
      | 1500 |

  Scenario Outline: Turns go on if the disk of <wiped> is lost with all power <ms> ms after a replacement was added
    Given archives "a, b, c" with 2 replicas per turn
    When 3 turns "t" are stored by "a, b"
    And archive "c" is killed
    And 4000 ms pass
    And archive "c1" is added
    And <ms> ms pass
    And all VMs lose power, "<wiped>" lose their disks, and all but "c" restart
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | wiped | ms   |
      | a     | 300  |
      | a     | 1000 |
      | a     | 1800 |
      | a     | 2500 |
      | a     | 4000 |
      | c1    | 1000 |

  Scenario Outline: Turns go on if an archive is replaced in a cut and the disk of <wiped> is lost with all power
    Given archives "a, b, c" with 2 replicas per turn
    When 3 turns "t" are stored by "a, b, c"
    And data centre "b" is isolated
    And archive "c" is killed
    And 1000 ms pass
    And archive "c1" is added
    And <ms> ms pass
    And all VMs lose power, "<wiped>" lose their disks, and all but "c" restart
    And the isolation ends and <endMs> ms pass
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | wiped | ms   | ends     | endMs |
      | a     | 6000 | at once  | 0     |
      | b     | 6000 | at once  | 0     |
      | c1    | 6000 | at once  | 0     |

  Scenario Outline: Turns go on <fromMs> ms after a replacement lost its disk, <ms> ms after it was added
    Given archives "a, b, c" with 2 replicas per turn
    When 3 turns "t" are stored by "a, b"
    And archive "c" is killed
    And 4000 ms pass
    And archive "c1" is added
    And <ms> ms pass
    And the disk of the archive "c1" is lost and 100 ms pass
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from <fromMs> to <toMs> ms after now

    Examples:
      | ms   | fromMs | toMs  |
      | 1000 | 12000  | 13000 |
      | 1000 | 33000  | 34000 |
      | 2000 | 8000   | 12000 |
      | 3000 | 8000   | 12000 |

  # Guards against an emptied archive that waits for one that is gone.
  Scenario Outline: Turns go on if the disk of <wiped> is lost with all power, <ms> ms after the other archive there was killed
    Given archives "a, b, c, c2" with 2 replicas per turn
    When 3 turns "t" are stored by "a, b, c"
    And archive "c2" is killed
    And <ms> ms pass
    And all VMs lose power, "<wiped>" lose their disks, and all but "c2" restart
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | wiped | ms    |
      | c     | 4500  |
      | c     | 6000  |
      | c     | 12000 |
      | a     | 4500  |
      | a     | 12000 |

  # Guards against a superseded archive that never counts again.
  Scenario Outline: Turns go on if the disk of <wiped> is lost with all power and a successor is gone for <ms> ms
    Given archives "a, b, c, c2" with 2 replicas per turn
    When 3 turns "t" are stored by "a, b, c"
    And archive "c" is killed
    And 9000 ms pass
    And archive "c" is started
    And 3000 ms pass
    And 3 turns "u" are stored by "a, b, c"
    And archive "c2" is killed
    And <ms> ms pass
    And all VMs lose power, "<wiped>" lose their disks, and all but "c2" restart
    Then each stored turn goes on in "a, b, c" for programs of "a, b, c", from 8000 to 12000 ms after now

    Examples:
      | wiped | ms    |
      | a     | 12000 |
      | a     | 60000 |
      | c     | 12000 |
