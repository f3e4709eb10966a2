Feature: Reasons of refusals and retries

  Scenario: The page of reasons names every reason
    Then the page of reasons lists each refusal with its status, and each retry
