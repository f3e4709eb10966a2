Feature: Random faults on real processes

  Scenario: A short run keeps every promise
    When seed 1 runs for 8 s
    Then no guarantee was violated

  Scenario: Seeds that failed before keep every promise
    When the seeds that failed before run
    Then no guarantee was violated

  Scenario: Seeds that cut streams or mixed versions keep every promise
    When the seeds that cut streams or mixed versions run
    Then no guarantee was violated

  Scenario: Seeds in which entries of targets were out of date keep every promise
    When the seeds in which entries of targets were out of date run
    Then no guarantee was violated

  Scenario: Seeds whose hang-up met a starting process keep every promise
    When the seeds whose hang-up met a starting process run
    Then no guarantee was violated

  Scenario: Seeds in which a program ran before it was loaded keep every promise
    When the seeds in which a program ran before it was loaded run
    Then no guarantee was violated

  Scenario: Seeds in which instances were cut off from all targets keep every promise
    When the seeds in which instances were cut off run
    Then no guarantee was violated
