Feature: Documentation of the configuration

  Scenario: The documentation matches the schema
    Then docs CONFIGURATION lists every key with unit, default and range
