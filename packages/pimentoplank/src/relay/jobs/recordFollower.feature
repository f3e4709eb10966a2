Feature: Age of what an owner knows of its jobs

  Scenario: Items start only up to the longest age of the record while the platform does not answer
    Given an owner of 2 jobs whose items may start up to 1800 ms after the record was current
    When the platform answers no reads
    And 1700 ms pass for the owner
    Then items of 2 jobs may start
    When 300 ms pass for the owner
    Then items of 0 jobs may start
    When the platform answers after 50 ms
    And 500 ms pass for the owner
    Then items of 2 jobs may start

  Scenario: An end that only the record tells of stops the job
    Given an owner of 2 jobs whose items may start up to 1800 ms after the record was current
    When the record of the first job is ended by an instance that the owner does not hear
    And 1200 ms pass for the owner
    Then items of 1 job may start
    And the first job has ended at the owner

  Scenario: A job that another instance has taken over is released
    Given an owner of 2 jobs whose items may start up to 1800 ms after the record was current
    When the record of the first job names another owner
    And 1200 ms pass for the owner
    Then items of 1 job may start
    And the owner has 1 job

  Scenario: A job whose record was deleted is ended, also where the platform has discarded the history
    Given an owner of 2 jobs whose items may start up to 1800 ms after the record was current
    When the record of the first job is deleted and the platform discards its history
    And 1200 ms pass for the owner
    Then items of 1 job may start

  Scenario: After its machine was suspended, an owner reads the records before it starts items
    Given an owner of 2 jobs whose items may start up to 1800 ms after the record was current
    When the machine is suspended for 10 s
    Then items of 0 jobs may start
    When 300 ms pass for the owner
    Then items of 2 jobs may start

  Scenario: The records of all jobs are read with one call about once a second, and with none where no job is open
    Given an owner of 20 jobs whose items may start up to 1800 ms after the record was current
    When 10000 ms pass for the owner
    Then the platform got 8 to 12 reads
    When all jobs are ended
    And 10000 ms pass for the owner
    Then the platform got 0 to 1 reads since

  Scenario: A job that is opened with an older record than those read so far is not taken for current
    Given an owner of 2 jobs whose items may start up to 1800 ms after the record was current
    When the first job is not opened yet, and its record is ended by an instance that the owner does not hear
    And 3000 ms pass for the owner
    And the first job is opened with its record of the beginning
    And 2000 ms pass for the owner
    Then items of 1 job may start

  Scenario: A state that only the records tell is no accepted job, and a deleted one is forgotten
    Given an owner of 1 jobs whose items may start up to 1800 ms after the record was current
    When another instance writes the record of a job
    And 1200 ms pass for the owner
    Then the owner knows the state of that job, but not that it was accepted
    When the record of that job is deleted
    And 1200 ms pass for the owner
    Then the owner does not know that job

  Scenario Outline: No item starts later than the longest age after an end was written, whatever the platform's answers take
    Then with answers that take <least> to <most> ms and are lost in <lost> of 100 cases, no owner of 200 random runs starts an item later than 1800 ms after the end

    Examples:
      | least | most | lost |
      | 1     | 20   | 0    |
      | 60    | 180  | 5    |
      | 400   | 1100 | 10   |
      | 10    | 4000 | 30   |
