Feature: Archives of a site, as registered

  Scenario Outline: A registration with <content> costs only itself
    Given a directory of the archives "a, b, c"
    When the registration of archive "b" becomes one with <content>
    Then the directory has the archives "a, c"
    And it has reported "archives/b" 1 times
    When the registration of archive "b" becomes one with <content>
    Then it has reported "archives/b" 1 times
    When the registration of archive "b" becomes sound again
    Then the directory has the archives "a, b, c"
    When all archives are listed while that of "b" has <content>
    Then the directory has the archives "a, c"
    And it has reported "archives/b" 2 times

    Examples:
      | content                  |
      | no JSON text             |
      | no text at all           |
      | null                     |
      | a number                 |
      | a list                   |
      | 100000 nested arrays     |
      | no disk                  |
      | an address as number     |
      | an address without port  |
      | port 0                   |
      | port 99999               |
      | host 999.0.0.1           |
      | an address with a path   |
      | the name of another one  |
      | an empty name            |
