Feature: Relay of a stream whose client or memory is not ready

  Scenario Outline: A target is read again only when <first> and then <second> are ready
    Given a stream that is relayed to a client that reads late, while memory is full
    Then the target is not read
    When the <first> is ready
    Then the target is not read
    When the <second> is ready
    Then the target is read

    Examples:
      | first  | second |
      | client | memory |
      | memory | client |
