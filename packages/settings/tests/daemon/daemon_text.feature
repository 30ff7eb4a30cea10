Feature: A daemon's settings

  Scenario Outline: A problem of the settings is reported: <problem>
    Given the daemon settings with "<found>" changed to "<changed>"
    Then reading the daemon settings throws "settings_invalid" that says '<message>'

    Examples:
      | problem          | found                  | changed         | message                         |
      | missing key      | name = entry-1         |                 | [daemon] name: key is missing   |
      | host name        | host = 10.21.1.11      | host = localhost | an IP address, found           |
      | port range       | port = 8080            | port = 70000    | from 1 to 65535                 |
      | unknown section  | [log]                  | [logs]          | did you mean "log"              |
      | unknown level    | level = info           | level = loud    | "debug", "info", "warn"         |
      | partial TLS      | [log]                  | [tls]           | [tls] certificate               |

  Scenario: Any text is parsed or rejected with problems, without a crash
    Then any text is parsed as daemon settings or rejected with problems
