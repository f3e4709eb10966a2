Feature: Age of what a runner knows of its jobs

  Scenario: After its machine was suspended, a runner reads a job before items of it start
    Given a runner that has read a running job
    When 1 s passes for the runner
    Then the runner takes the job as running, after 1 read
    When the machine of the runner is suspended for 10 s, and the job is cancelled meanwhile
    Then the runner takes the job as ended, after 2 reads

  Scenario: A read that shows the job as it was before the chunk was claimed does not count
    Given a runner that has read a running job
    When 5 s pass for the runner
    And the platform shows the job at an earlier revision
    Then the runner takes the job as unknown, after 2 reads

  Scenario: An answer that comes later than the bound after its question does not count
    Given a runner that has read a running job
    When 5 s pass for the runner
    And the platform takes 5 s to answer
    Then the runner takes the job as unknown, after 2 reads
