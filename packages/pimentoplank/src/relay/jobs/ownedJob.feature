Feature: State of an owned job

  # Guards against memory that callers fill by reading a job again and again that makes no progress.
  Scenario: Reads that wait in vain leave nothing behind
    Given a job at its owner
    When 100000 reads of its results wait for 1 ms, one after the other in time for the next
    Then less than 5 MB of memory are kept for them
