Feature: Load in a large fleet
  Instances of one failure domain send each other every load update; the others get digests.

  Background:
    Given instances "a1" and "a2" of failure domain "a", and "b1" of "b", where each may send load updates to one peer only

  Scenario: Instances of the same failure domain get every load update
    When "a1" has 3 live requests at the target "ta" of its failure domain
    Then "a2" sees 3 live requests at "ta" within 300 ms

  Scenario: Far instances get the total use of a failure domain, counted once
    When "a1" has 3 live requests at the target "ta" of its failure domain
    And "a2" has 2 live requests at the target "ta" of its failure domain
    Then "b1" sees 5 live requests at "ta" within 2000 ms
    And for 1500 ms "b1" never sees more than 5 live requests at "ta"

  Scenario: Use of targets in other failure domains is reported too
    When "b1" has 1 live request at the target "ta" of another failure domain
    Then "a1" sees 1 live request at "ta" within 3000 ms

  Scenario: A far instance with infrequent reports is not declared lost
    Then for 2500 ms no instance is declared lost

  Scenario: An instance that has heard only one of a large fleet does not declare it lost
    Given an instance "a9" that takes part in a large fleet
    When "b9" starts that knows the address of "a9" and one that is silent
    Then "b9" hears "a9" within 1000 ms
    And for 2500 ms no instance is declared lost

  Scenario: Digests of a failure domain are removed with its last instance
    When "a1" has 3 live requests at the target "ta" of its failure domain
    And "b1" sees 3 live requests at "ta" within 2000 ms
    And "a1" and "a2" crash
    Then "b1" sees 0 live requests at "ta" within 6000 ms

  Scenario: Far instances hear of a stream that begins, though the instance that began it ends right then
    When a stream begins at "a1", which tells "a2" and "b1", and ends
    Then "a2" and "b1" have heard of the stream within 200 ms
