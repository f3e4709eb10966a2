Feature: Jobs that are submitted again

  # Guards against results that were read and vanish: the job was opened without what the store holds.
  Scenario: A job that is submitted again at its owner after a restart keeps its results
    Given an instance that has stored the results of 2 of the 5 items of a job
    When the instance has restarted, and the job is submitted again before stored jobs are taken over
    Then the job is accepted, and lists its 2 results at any time of the next 2 s
    And 3 items of the job are open at the instance

  Scenario: A job that is submitted again after a restart and then ended keeps its results
    Given an instance that has stored the results of 2 of the 5 items of a job
    When the instance has restarted, and the job is submitted again before stored jobs are taken over
    And the job is ended at another instance
    Then the job is accepted, and lists its 2 results at any time of the next 2 s

  Scenario: A job that is submitted again while stored jobs are taken over after a restart keeps its results
    Given an instance that has stored the results of 2 of the 5 items of a job
    When the instance has restarted, and the job is submitted again while stored jobs are taken over
    Then the job is accepted, and lists its 2 results at any time of the next 2 s
    And 3 items of the job are open at the instance
