Feature: The page of settings

  Scenario: The page matches the schema
    Then docs CONFIGURATION lists every key with unit, default and range
