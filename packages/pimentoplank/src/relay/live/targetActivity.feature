Feature: Silent targets
  A request that waits for a slot is silent too, and each instance of a large fleet sees few requests of a target.

  Scenario: One request without first bytes may wait for a slot
    When a request waits for its first bytes for too long
    Then it is told to be silent, not for certain

  Scenario: Two requests without first bytes make it certain
    When a request waits for its first bytes for too long
    And a request waits for its first bytes for too long
    Then it is told to be silent for certain

  Scenario: Bytes in between speak for the target
    When a request waits for its first bytes for too long
    And another request gets bytes
    And a request waits for its first bytes for too long
    Then it is told to be silent, not for certain

  Scenario: A stream that has begun has a slot
    When a request gets bytes and then none for too long
    Then it is told to be silent for certain
