Feature: Watching the platform in an outage

  Scenario Outline: An outage costs the platform few calls in a fleet of <peers> instances
    Given a platform that is down for <peers> instances that watch it
    When 2 minutes of the outage pass
    Then the platform got at most <calls> calls a second in the last minute

    Examples:
      | peers | calls |
      | 10    | 10    |
      | 100   | 80    |
      | 390   | 80    |
