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
