Feature: Connections whose clients do not read are found

  A check lists each open connection as name:written/waiting, in bytes.

  Scenario Outline: Guards against <failure>
    When the output of connections is checked as "<checks>"
    Then the last check finds "<found>"

    Examples:
      | failure                                             | checks                                                            | found |
      | output that waits for ever                          | 0 a:10/5; 15000 a:10/5                                            | a     |
      | the end of a client that pauses for less than 15 s  | 0 a:10/5; 14999 a:10/5                                            | none  |
      | the end of a slow client that reads                 | 0 a:10/5; 14000 a:11/4; 28000 a:12/3                              | none  |
      | the end of a client that has read everything        | 0 a:10/5; 10000 a:15/0; 20000 a:15/0; 40000 a:15/0                | none  |
      | time counted before the next response waits         | 0 a:10/5; 10000 a:15/0; 14000 a:15/5; 20000 a:15/5                | none  |
      | idle connections taken for stalled ones             | 0 a:0/0; 15000 a:0/0; 30000 a:0/0                                 | none  |
      | one that hides another                              | 0 a:10/5 b:10/5; 15000 a:10/5 b:11/4                              | a     |
      | time of a connection that had closed                | 0 a:10/5; 10000 b:0/0; 15000 a:10/5                               | none  |
      | a crowd that stays in memory after it has left      | 0 a:10/5 b:10/5 c:10/5; 5000 none; 15000 a:10/5 b:10/5 c:10/5     | none  |
      | a connection found in one check only, though it is open | 0 a:10/5; 15000 a:10/5; 20000 a:10/5                          | a     |
