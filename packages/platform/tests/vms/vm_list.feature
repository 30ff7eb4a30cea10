Feature: VM list client
  The same contract applies to the in-memory list and to the HTTP client.

  Scenario Outline: Clients see changes after the lag (<transport>)
    Given a VM list over <transport> that lags by 500 ms
    When a VM is listed as live, and as leaving 1000 ms later
    Then the VM list shows <states> at 400, 600, 1400 and 1600 ms

    Examples:
      | transport | states                |
      | memory    | none,live,live,leaving |
      | socket    | none,live,live,leaving |

  Scenario Outline: An unreachable list is reported (<fault>, <transport>)
    Given a VM list over <transport> that lags by 0 ms
    When the VM list has <fault>
    Then the VM list's client gets store_unavailable

    Examples:
      | fault          | transport |
      | an outage      | memory    |
      | an outage      | socket    |
      | a dead process | socket    |
