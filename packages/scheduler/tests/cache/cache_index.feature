Feature: Index of cached blocks
  Estimates which blocks each engine has cached.

  Scenario: The index never exceeds its maximum number of entries
    Then for any dispatches and events the cache index stays within its maximum size

  Scenario Outline: The index adds blocks only from its enabled sources
    Given a cache index that uses <sources>
    When a call with 4 blocks is dispatched to target 0 and target 1 stores the first 2
    Then the cache index counts <first> blocks on target 0 and <second> on target 1

    Examples:
      | sources        | first | second |
      | own dispatches | 4     | 0      |
      | events         | 0     | 2      |
      | both           | 4     | 2      |

  Scenario Outline: Removed blocks and cleared caches leave the index
    Given a cache index that uses both
    When a call with 4 blocks is dispatched to target 0 and target 1 stores the first 2
    And target 0 reports <event>
    Then the cache index counts <first> blocks on target 0 and 2 on target 1

    Examples:
      | event                | first |
      | the last two removed | 2     |
      | a cleared cache      | 0     |
      | nothing              | 4     |

  Scenario Outline: The index estimates evictions that the engine has not reported
    Given a cache index <mode> estimated evictions and a target with a capacity of 10 blocks
    When a call with 4 blocks is dispatched there and then one with <newer> newer blocks
    Then the cache index counts <count> of the first call's blocks

    Examples:
      | mode    | newer | count |
      | with    | 5     | 4     |
      | with    | 20    | 0     |
      | without | 20    | 4     |

  Scenario: A block hash covers all earlier blocks and the model
    Then prompts that differ from their second block on share only the first hash
