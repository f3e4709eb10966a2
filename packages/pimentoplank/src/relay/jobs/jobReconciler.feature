Feature: Jobs that no instance runs

  Every job is taken over by an event, such as the loss of its owner. These are jobs whose event was missed.

  # Guards against accepted jobs that lie for good: their owner and its successor were lost within a second.
  Scenario: A job whose owner was lost before the successor of that one
    Given an instance that hears the owner of a stored job and the successor of that one
    When the owner is lost, and its successor 800 ms later
    Then the instance takes the job over within 3000 ms

  # Guards against takeovers of which the owner doesn't know: the answer to the write was lost.
  Scenario: A job that is stored under this instance without being known here
    Given an instance that hears the owner of a stored job and the successor of that one
    When the record of the job names this instance
    Then the instance takes the job over within 9000 ms

  Scenario: A job that is still being submitted here is tried again later
    Given an instance that hears the owner of a stored job and the successor of that one
    And the job can't be taken over yet
    When the record of the job names this instance
    Then the instance tries 2 to 3 times in 30 s to take the job over

  # Guards against instances that take jobs from each other again and again while they don't hear each other.
  Scenario: Owners that are not heard, but store something, keep their jobs
    Given an instance that hears the owner of a stored job and the successor of that one
    When every peer is lost, but the owner stores another job every 1 s for 40 s
    Then the instance has taken no job over

  Scenario: Owners that seemed to be lost for a moment keep the jobs that they store later
    Given an instance that hears the owner of a stored job and the successor of that one
    When every peer is lost, but the owner stores another job every 4 s for 40 s
    Then the instance has taken 1 job over

  Scenario: Owners that are not heard and store nothing more lose their jobs
    Given an instance that hears the owner of a stored job and the successor of that one
    When every peer is lost, but the owner stores another job every 1 s for 12 s
    Then the instance takes 13 jobs over within 16000 ms

  Scenario: A job whose owner leaves is not taken over while it may be handed over
    Given an instance that hears the owner of a stored job and the successor of that one
    When the owner leaves and the job is handed over 1800 ms later
    Then the instance has taken no job over

  Scenario Outline: All instances together read the records at a bounded rate
    Then <count> instances that lose a peer every <lossS> s read the records at most <reads> times in 60 s

    Examples:
      | count | lossS | reads |
      | 7     | 60    | 140   |
      | 400   | 60    | 1000  |
