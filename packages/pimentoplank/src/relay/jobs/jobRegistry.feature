Feature: What instances tell each other of jobs

  # A record alone may be withdrawn, or its input incomplete.
  Scenario: A peer doesn't take a job for accepted whose owner has merely read its record
    Given instances "a" and "b" that tell each other of jobs
    When "a" reads a record of job "j" that names it as the owner
    And "b" hears what "a" tells
    Then neither of them takes "j" for accepted

  Scenario: A peer takes a job for accepted that its owner has heard to be accepted
    Given instances "a" and "b" that tell each other of jobs
    When "a" hears from a peer that it owns job "j"
    And "b" hears what "a" tells
    Then both of them take "j" for accepted
