Feature: Way of a request to a target that its entry VM does not reach

  Scenario: Entry VMs that reach the target are found among others that do not
    Given 3 other entry VMs, of which 1 reaches the target
    When a request is sent to a target that accepts no connection, with each of 20 seeds
    Then each of the requests is relayed to the target

  Scenario: Of a target that is down, one entry VM is asked at a time
    Given 3 other entry VMs, of which 0 reach the target
    When 10 requests in a row are sent to a target that accepts no connection
    Then the entry VMs were asked 3 times in all
    When the entry VMs may be asked again after 1100 ms
    And 10 requests in a row are sent to a target that accepts no connection
    Then the entry VMs were asked 4 times in all

  # Guards against a second run of a request: an entry VM without room resets connections
  # that it has not read, and one that ends resets those whose requests it has sent.
  Scenario Outline: A request whose connection an entry VM resets once <when> is handed to no other one
    Given 3 other entry VMs that reset connections once <when>
    When 1 requests in a row are sent to a target that accepts no connection
    Then the entry VMs were asked 1 times in all
    And each of the requests counts as sent

    Examples:
      | when                    |
      | they have opened        |
      | the request has arrived |
