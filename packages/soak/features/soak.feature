Feature: Random faults on real processes

  Scenario: A short run keeps every promise
    When seed 1 is played for 8 s
    Then no promise was broken

  Scenario: Seeds that failed before keep every promise
    When the seeds that failed before are played
    Then no promise was broken

  Scenario: Seeds whose hang-up met a starting process keep every promise
    When the seeds whose hang-up met a starting process are played
    Then no promise was broken
