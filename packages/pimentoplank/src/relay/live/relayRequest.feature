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

  # Guards against requests that were let through before targets were known to crash on them, and sent long afterwards.
  Scenario: A request on which targets are found to crash while its connection is opened is not sent
    Given a service with target "a"
    And a request whose prompt is found to crash targets while its connection is opened
    When a request is relayed
    Then it is refused as one that crashes targets, and was sent to none

  Scenario: A probe is sent though targets are known to crash on its prompt
    Given a service with target "a"
    And a probe whose prompt is found to crash targets while its connection is opened
    When a request is relayed
    Then it is answered by the last of them
