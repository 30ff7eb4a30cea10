Feature: The operators' text in force

  Scenario: A change comes into force on every daemon within 2 seconds
    Given 3 daemons that follow the text of version 1
    When the text of version 2 is accepted
    Then within 2 seconds every daemon has version 2 in force

  Scenario: A daemon cut off from the platform takes a newer text from a peer
    Given 3 daemons that follow the text of version 1
    And daemon 0 is cut off from the platform
    When the text of version 2 is accepted
    And daemon 0 hears of version 2 from daemon 1
    Then within 1 seconds every daemon has version 2 in force

  Scenario: A daemon restarted in an outage takes the text from its peers
    Given 3 daemons that follow the text of version 1
    And the platform of the text is down
    When daemon 2 restarts
    Then within 1 seconds every daemon has version 1 in force

  Scenario: A daemon alone in an outage has no text
    Given 1 daemons that follow the text of version 1
    And the platform of the text is down
    When daemon 0 restarts
    Then after 20 seconds daemon 0 has no text in force

  Scenario: A daemon that started in an outage has the text after it
    Given 1 daemons that follow the text of version 1
    And the platform of the text is down
    When daemon 0 restarts
    And the platform of the text is up
    Then within 5 seconds every daemon has version 1 in force

  Scenario: An invalid text never comes into force
    Given 3 daemons that follow the text of version 1
    When an invalid text of version 2 is written past the check
    Then after 5 seconds every daemon has version 1 in force

  Scenario: The text in force never reverts
    Then in 150 runs with cuts, outages and restarts no daemon goes back to an older text

  Scenario: The check of the text in force notices a revert
    Then the check of the text in force fails for versions 1, 3, 2
