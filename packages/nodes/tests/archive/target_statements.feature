Feature: Statements of targets that archives relay among entry VMs

  Scenario: An archive relays that a target is leaving
    Given an archive that relays statements of targets
    When an entry VM reports a target that has been leaving for 300 ms and has no limit
    And 200 ms pass at the archive
    Then another entry VM learns that the target has been leaving for 500 ms
    And that entry VM knows no limit of the target

  Scenario: A daemon of an earlier build ignores that a target without a limit is leaving
    When a daemon of an earlier build without a limit receives that a target is leaving
    Then it has no entry of the target

  Scenario: A daemon of an earlier build keeps the limit of a target that is leaving
    When a daemon of an earlier build with a limit of 2 receives that a target is leaving
    Then its limit of the target is 2

  Scenario: The message of an earlier build states nothing about leaving
    When a message of an earlier build with a limit of 2 is received
    Then its limit of the target is 2
    And it does not know that the target is leaving
