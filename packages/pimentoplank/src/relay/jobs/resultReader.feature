Feature: Reads of results

  Scenario: A read that finds many waiting is answered at once with what there is
    Given an instance with a job of 2 items, at which at most 3 reads may wait
    When 4 reads of the results from position 0 wait
    Then 1 of them is answered at once, without results
    When a result of the job is stored
    Then 4 of them are answered
    When 3 reads of the results from position 1 wait
    Then 0 of them are answered at once, without results
    When a result of the job is stored
    Then 3 of them are answered

  # Guards against processes that run out of memory as they read all results of a job for each page of it.
  Scenario: A page is read from the platform without the results behind it
    Given a job of 40 items with results of 400000 characters, each stored by itself
    When another instance reads its first page
    Then it has asked the platform for at most 4 segments
    When another instance reads all its pages, one after the other
    Then it has got the results of all 40 items, each once

  Scenario: An owner keeps the results of finished jobs up to a size, and reads the others from the platform
    Given an instance that keeps results of at most 1000000 characters
    When 5 jobs of 1 item are finished there with results of 400000 characters
    Then it keeps 2 jobs in memory
    And the results of all 5 jobs are read whole
