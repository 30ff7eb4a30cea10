Feature: TLS towards callers

  Scenario: Changed files are used without a restart, and broken ones are not
    Given a callers' server with the "first" certificate
    Then a caller sees the "first" certificate
    When the TLS files become those of the "second" certificate
    Then a caller sees the "second" certificate
    When the TLS files become broken
    Then a caller sees the "second" certificate
    When the TLS files become those of the "first" certificate
    Then a caller sees the "first" certificate
