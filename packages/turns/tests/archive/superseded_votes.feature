Feature: Reservations that count superseded votes

  # Guards against majorities of entry VMs whose lists are behind.
  Scenario: A reservation that counts a superseded vote is not recorded
    Given archives "a, b, c" with 2 replicas per turn
    And archive "a" leaves out the disk "disk-gone"
    When archive "a" is asked for 50 tokens without the disks ""
    Then the reservation is refused since "disk-gone" is superseded
    When archive "a" is asked for 50 tokens without the disks "disk-gone, disk-other"
    Then the archive records the reservation
    And archive "a" leaves out the disks "disk-gone, disk-other"

  # Guards against upgrades in which entry VMs of the earlier build get no tokens.
  Scenario: A reservation of a build that names no disks is recorded
    Given archives "a, b, c" with 2 replicas per turn
    And archive "a" leaves out the disk "disk-gone"
    When archive "a" is asked for 50 tokens by an earlier build
    Then the archive records the reservation

  Scenario: Disks with any name are left out after a restart
    Given archives "a, b, c" with 2 replicas per turn
    And archive "a" leaves out the disk "../disk gone%"
    When archive "a" is killed
    And archive "a" is started
    Then archive "a" leaves out the disks "../disk gone%"
