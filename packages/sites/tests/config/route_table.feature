Feature: Route table

  Scenario Outline: A request to <host><path> has route "<route>"
    Given routes "a.example/x/ short", "a.example/x/y/ long" and "b.example/x/ other"
    Then a request to host "<host>" and path "<path>" has route "<route>"

    Examples:
      | host           | path          | route |
      | a.example      | /x/1          | short |
      | a.example      | /x/y/1        | long  |
      | a.example      | /x/y          | short |
      | a.example      | /x/yy/1       | short |
      | a.example      | /x/?q=/x/y/   | short |
      | A.Example:8080 | /x/1          | short |
      | b.example      | /x/y/1        | other |
      | a.example      | /z/1          |       |
      | c.example      | /x/1          |       |
