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

  # Guards against accepted jobs without input: a peer took the owner's notice of the record for an acceptance.
  Scenario: A job whose input was lost with its instance is stored anew where it is submitted again
    Given an instance that was lost while it stored a job of 5 items, of which only the record is stored
    When the instance is back and has told a peer what it knows of jobs
    And the job is submitted again at that peer
    Then the job is accepted, and its input is stored
    And within 20 s the instance that is back has 5 items of the job open
