Feature: Load in a large fleet
  Instances of one failure domain tell each other of each change; those elsewhere get digests.

  Background:
    Given instances "a1" and "a2" of failure domain "a", and "b1" of "b", which are more than are told of each change

  Scenario: Instances of the same failure domain hear of each change
    When "a1" has 3 live requests at the target "ta" of its failure domain
    Then "a2" sees 3 live requests at "ta" within 300 ms

  Scenario: Others hear of the use of a whole failure domain, counted once
    When "a1" has 3 live requests at the target "ta" of its failure domain
    And "a2" has 2 live requests at the target "ta" of its failure domain
    Then "b1" sees 5 live requests at "ta" within 2000 ms
    And for 1500 ms "b1" never sees more than 5 live requests at "ta"

  Scenario: What an instance uses elsewhere is told too
    When "b1" has 1 live request at the target "ta" of another failure domain
    Then "a1" sees 1 live request at "ta" within 3000 ms

  Scenario: A far instance that is told of seldom does not count as gone
    Then for 2500 ms nobody counts as gone

  Scenario: Digests of a failure domain that is gone are forgotten
    When "a1" has 3 live requests at the target "ta" of its failure domain
    And "b1" sees 3 live requests at "ta" within 2000 ms
    And "a1" and "a2" are lost
    Then "b1" sees 0 live requests at "ta" within 6000 ms
