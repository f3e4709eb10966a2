Feature: Ownership of jobs

  Scenario: A job that is accepted again while its owner takes it over has all its results stored
    Given a job manager whose store holds a job of 4 items with this instance as its owner
    When the takeover of the job waits for the store to update its record
    And the caller's repeat of the job is accepted
    And the first item of the job is finished
    And the store updates the record
    And the other items of the job are finished
    And 10 s pass for the job manager
    Then the store has the results of all 4 items, each once
