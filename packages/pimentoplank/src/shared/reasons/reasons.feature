Feature: Documentation of refusal and retry reasons

  Scenario: The reference page lists all reasons
    Then the reference page lists each refusal reason with its status, and each retry reason
