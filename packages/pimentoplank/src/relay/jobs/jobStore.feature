Feature: Stored jobs

  Scenario: A withdrawal leaves a record that has changed since it was written
    Given a stored job
    When another instance updates its record
    And the job is withdrawn by the instance that stored it
    Then its record is that of the other instance
