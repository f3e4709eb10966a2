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

  # Guards against older builds, which take each job that they are told of for accepted.
  Scenario: An owner doesn't tell of a job that it has merely read, but that a caller has ended it
    Given instances "a" and "b" that tell each other of jobs
    When "a" reads a record of job "j" that names it as the owner
    Then "a" tells of no job
    When "a" reads that job "j" was ended
    Then "a" tells that "j" was ended
    And neither of them takes "j" for accepted

  Scenario Outline: A record <state> shows that its job was accepted
    Given instances "a" and "b" that tell each other of jobs
    When "a" reads a record of job "j" that names it as the owner
    And "a" reads that job "j" was <state>
    And "b" hears what "a" tells
    Then both of them take "j" for accepted

    Examples:
      | state                        |
      | taken over                   |
      | accepted by another instance |
      | finished                     |

  # An instance of an older build also tells of jobs that it has merely read.
  Scenario Outline: A job at epoch <epoch> of which an instance of an older build tells is <taken> for accepted
    Given instances "a" and "b" that tell each other of jobs
    When "a", which runs an older build, owns job "j" at epoch <epoch>
    And "b" hears what "a" tells
    Then "b" knows "a" as the owner of "j", and <decision>

    Examples:
      | epoch | taken     | decision                      |
      | 1     | not taken | doesn't take it for accepted  |
      | 2     | taken     | takes it for accepted         |
