Feature: Requests that reach no target

  Scenario: A request goes back to targets that it could not connect to once the path is known to be lost
    Given a service with targets "a" and "b", to which no connection can be opened
    And an instance that knows its path to be lost from the second failure on
    When a request is relayed
    Then it was tried at "a", "b" and "a"
    And it is answered by the last of them

  Scenario: A request that reaches neither of two targets that are down is refused
    Given a service with targets "a" and "b", to which no connection can be opened
    When a request is relayed
    Then it was tried at "a" and "b"
    And it is refused
