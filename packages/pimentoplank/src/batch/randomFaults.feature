Feature: Batch state under random faults

  Scenario: Random faults at every step
    Then in 20 random fault sequences each batch item has at most one result and every job ends
