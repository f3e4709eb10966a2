Feature: Age of what a runner knows of its jobs

  Scenario: After its machine was suspended, a runner reads a job before items of it start
    Given a runner that has read a running job
    When 1 s passes for the runner
    Then the runner takes the job as running, after 1 read
    When the machine of the runner is suspended for 10 s, and the job is cancelled meanwhile
    Then the runner takes the job as ended, after 2 reads
