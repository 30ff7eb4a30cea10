Feature: TLS for callers

  Scenario: Changed TLS files are reloaded without a restart, unless invalid
    Given a caller server with the "first" certificate
    Then a caller receives the "first" certificate
    When the TLS files are replaced by those of the "second" certificate
    Then a caller receives the "second" certificate
    When the certificate file becomes invalid
    Then a caller receives the "second" certificate
    When the TLS files are replaced by those of the "first" certificate
    Then a caller receives the "first" certificate
