Feature: Sound targets that fall silent
  A target that sends nothing for a second or two and goes on is sound: its
  responses are whole, and its silence is neither a failure nor a death.

  Scenario Outline: A <kind> that sends nothing for 1900 ms after <place>
    Given a registry with a "<kind>" that sends nothing for 1900 ms after <place>
    When a request is sent to the silent target
    Then the response of the silent target is whole after at least 1900 ms
    And the registry kept the silent target open and saw no death

    Examples:
      | kind          | place       |
      | engine        | the request |
      | engine        | the head    |
      | engine        | an event    |
      | plain service | the request |
      | plain service | the head    |
