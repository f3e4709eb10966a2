Feature: Stored objects that instances of two builds share

  While machines are replaced one after the other, instances of the build in production read and write the same objects.

  Scenario: A job that the build in production has stored is taken over with its results
    Given the stored objects of a job as the build in production writes them
    When an instance of this build starts as their owner
    Then it has 1 of the job's items open, and lists the result of the other

  Scenario: What this build stores has the fields that the build in production knows
    Given the stored objects of a job as the build in production writes them
    When an instance of this build accepts a job, stores its results in several parts and notes that it is finished
    And the job of the build in production is taken over and ended
    Then each stored object has the fields of the like object of the build in production
