Feature: Watching the platform during an outage

  Scenario Outline: A fleet of <peers> instances sends the platform few calls during an outage
    Given a platform that is down for <peers> instances that watch it
    When 2 minutes of the outage pass
    Then the platform received at most <calls> calls a second in the last minute

    Examples:
      | peers | calls |
      | 10    | 10    |
      | 100   | 80    |
      | 390   | 80    |
