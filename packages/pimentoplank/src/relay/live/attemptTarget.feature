Feature: Requests that run as the path to targets is lost

  Scenario: A request whose connection hangs moves to another target at once
    Given a repeatable request that runs at target "a", with a free slot at "b"
    When the path to targets is lost, and with it the connection to "a"
    Then the request leaves "a" with the slot at "b"

  Scenario: A request whose connection lives on stays
    Given a repeatable request that runs at target "a", with a free slot at "b"
    When the path to targets is lost, but not the connection to "a"
    Then the request stays at "a"

  Scenario: A request that may not run twice stays
    Given a request that may run once only at target "a", with a free slot at "b"
    When the path to targets is lost, and with it the connection to "a"
    Then the request stays at "a"

  Scenario: Nothing that fails while the path is lost counts as a crash
    Given a repeatable request that runs at target "a", with a free slot at "b"
    When the path to targets is lost, but not the connection to "a"
    And the connection to "a" breaks
    Then no crash is recorded

  Scenario: A connection that breaks while targets are reached counts as a crash
    Given a repeatable request that runs at target "a", with a free slot at "b"
    When the connection to "a" breaks
    Then a crash is recorded
