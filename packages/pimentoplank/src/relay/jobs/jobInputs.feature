Feature: Input of jobs in memory

  # Guards against processes that run out of memory as callers submit jobs of large bodies and few tokens.
  Scenario: An owner keeps the bodies of its jobs up to a size, and reads the others again
    Given an instance that keeps bodies of at most 2000000 characters
    When 6 jobs of 2 items with bodies of 400000 characters are submitted to it
    Then all 6 jobs are accepted, with at most 2000000 characters of bodies in memory
    And the body of each item is returned whole

  Scenario: Calls for the same input share a read, and few inputs are read at once
    Given inputs of which 2 are read at once, at a platform that does not answer
    When 5 calls ask for the input of each of 3 jobs
    Then the platform is asked for 2 inputs
    When the platform answers for inputs
    Then all calls are answered, and the platform was asked for 3 inputs
