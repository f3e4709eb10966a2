Feature: Memory of jobs that are submitted

  # Guards against processes that run out of memory as many jobs of full size are decoded and stored at once.
  Scenario: Jobs beyond the memory for callers are refused before they are decoded
    Given a budget of 24 MiB for callers, and a store that does not answer
    When 5 jobs of 4 MiB are submitted at once
    Then 2 of them are decoded, and 3 are refused as "overloaded", not run and with a time to come back
    When the store answers
    Then 2 jobs are accepted, and no memory is in use by jobs
    When 1 jobs of 4 MiB are submitted at once
    Then 1 of them are decoded, and 0 are refused as "overloaded", not run and with a time to come back

  Scenario: A job with texts beyond ASCII takes twice the memory
    Given a budget of 24 MiB for callers, and a store that does not answer
    When 2 jobs of 4 MiB with texts beyond ASCII are submitted at once
    Then 1 of them are decoded, and 1 are refused as "overloaded", not run and with a time to come back

  Scenario: A job that can't be decoded returns its memory
    Given a budget of 24 MiB for callers, and a store that does not answer
    When a job that can't be decoded is submitted
    Then 0 jobs are accepted, and no memory is in use by jobs
