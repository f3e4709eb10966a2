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

  Scenario: A job that is opened with an older record than those read so far runs once that was read, too
    Given an owner of 2 jobs whose items may start up to 1800 ms after the record was current
    When the first job is not opened yet, and another one is stored after it
    And 3000 ms pass for the owner
    And the first job is opened with its record of the beginning
    Then items of 1 job may start
    When 1200 ms pass for the owner
    Then items of 2 jobs may start

  Scenario: A read that began before a job was opened does not tell that the job's older record is current
    Given an owner of 2 jobs whose items may start up to 1800 ms after the record was current
    And the platform answers after 400 ms
    When the first job is not opened yet, and its record is ended by an instance that the owner does not hear
    And 3000 ms pass for the owner
    And the first job is opened with its record of the beginning while a read is under way
    Then no item of the first job may start within 3000 ms

  Scenario: Items start in a part of the time where the platform takes 1200 ms to answer
    Given an owner of 2 jobs whose items may start up to 1800 ms after the record was current
    When the platform answers after 1200 ms
    And 5000 ms pass for the owner
    Then items of the first job may start at some time within 3000 ms

  Scenario: A platform that refuses reads is asked ever more rarely, also for reads of results
    Given an owner of 2 jobs whose items may start up to 1800 ms after the record was current
    When the platform refuses reads
    And 10000 ms pass for the owner, whose results are read all the time
    Then the platform got 8 to 16 reads

  Scenario: A state that only the records tell is no accepted job, and a deleted one is forgotten
    Given an owner of 1 jobs whose items may start up to 1800 ms after the record was current
    When another instance writes the record of a job
    And 1200 ms pass for the owner
    Then the owner knows the state of that job, but not that it was accepted
    When the record of that job is deleted
    And 1200 ms pass for the owner
    Then the owner does not know that job

  Scenario: A job counts as accepted once a peer tells of it, whatever the records tell before and after that
    Given an owner of 1 jobs whose items may start up to 1800 ms after the record was current
    When another instance writes the record of a job
    And 1200 ms pass for the owner
    And a peer tells the owner of that job
    Then the owner knows that the job was accepted
    When the record of that job names a third instance
    And 1200 ms pass for the owner
    Then the owner knows that the job was accepted

  Scenario Outline: No item starts later than the longest age after an end was written, whatever the platform's answers take
    Then with answers that take <least> to <most> ms and are lost in <lost> of 100 cases, no owner of 200 random runs starts an item later than 1800 ms after the end

    Examples:
      | least | most | lost |
      | 1     | 20   | 0    |
      | 60    | 180  | 5    |
      | 400   | 1100 | 10   |
      | 10    | 4000 | 30   |
