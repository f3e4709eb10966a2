Feature: Batch runners under failure

  Scenario: A runner is killed with items in flight
    Given a batch fleet with the runners "a, b"
    When 40 batch items are uploaded
    And the batch runner "a" has committed results and runs items
    And the batch runner "a" is killed
    Then the batch job is "done" within 120 s
    And each of the 40 batch items has 1 result, "done"
    And no batch item that "a" had committed ran again

  Scenario: A runner freezes past its lease and thaws
    Given a batch fleet with the runners "a, b"
    When 40 batch items are uploaded
    And the batch runner "a" has committed results and runs items
    And the batch runner "a" freezes
    And 60 s pass in the batch fleet
    And the batch runner "a" thaws
    Then the batch job is "done" within 120 s
    And the batch runner "a" had a commit refused
    And each of the 40 batch items has 1 result, "done"

  Scenario: Two runners with one name
    Given a batch fleet with the runners "a/1"
    When 60 batch items are uploaded
    And the batch runner "a/1" runs items
    And the batch runner "a/2" starts
    Then the batch job is "done" within 120 s
    And the batch runner "a/2" ran nothing
    And each of the 60 batch items ran exactly once on the targets

  Scenario: The second runner of a name takes over after the first is gone
    Given a batch fleet with the runners "a/1"
    When 40 batch items are uploaded
    And the batch runner "a/1" has committed results and runs items
    And the batch runner "a/1" is killed
    And the batch runner "a/2" starts
    Then the batch job is "done" within 120 s
    And each of the 40 batch items has 1 result, "done"

  Scenario: The runner that finished the last chunk dies before it ends the job
    Given a batch fleet with the runners "a"
    When 10 batch items are uploaded
    And the batch runner "a" is killed before it can write the job
    And the batch runner "b" starts
    Then the batch job is "done" within 120 s
    And each of the 10 batch items ran exactly once on the targets

  Scenario: The platform is away while chunks are worked
    Given a batch fleet with the runners "a, b"
    When 20 batch items are uploaded
    And the batch runner "a" runs items
    And the platform is away from the batch fleet
    And 60 s pass in the batch fleet
    Then batch items that were held have run meanwhile
    When the platform is back for the batch fleet
    Then the batch job is "done" within 60 s
    And each of the 20 batch items ran exactly once on the targets
    And each of the 20 batch items has 1 result, "done"

  Scenario: Work pauses when the platform is away for longer than the bound
    Given a batch fleet with the runners "a" that goes on for 2 s without the platform
    When 20 batch items are uploaded
    And the batch runner "a" runs items
    And batch slots are scarce
    And the platform is away from the batch fleet
    And 40 s pass in the batch fleet
    Then no batch item starts in 60 s
    When the platform is back for the batch fleet
    And batch slots are granted again
    Then the batch job is "done" within 60 s
    And each of the 20 batch items has 1 result, "done"

  Scenario Outline: Answers to <operation> of "<kind>" are lost after they took effect
    Given a batch fleet with the runners "a, b"
    When answers to <operation> of "<kind>" are lost for the batch fleet, 2 of 3
    And 20 batch items are uploaded
    Then the batch job is "done" within 120 s
    And each of the 20 batch items has 1 result, "done"
    And each of the 20 batch items ran exactly once on the targets

    Examples:
      | operation | kind       |
      | put       | lease      |
      | put       | checkpoint |
      | put       | segment    |
      | put       | job        |
      | list      | checkpoint |
      | get       | chunk      |
      | list      | job        |

  Scenario Outline: The platform refuses <operation> of "<kind>" for a while
    Given a batch fleet with the runners "a, b"
    When the platform refuses <operation> of "<kind>" for the batch fleet
    And 20 batch items are uploaded
    And 20 s pass in the batch fleet
    And the platform is back for the batch fleet
    Then the batch job is "done" within 120 s
    And each of the 20 batch items has 1 result, "done"

    Examples:
      | operation | kind       |
      | put       | lease      |
      | put       | checkpoint |
      | put       | segment    |
      | put       | job        |
      | list      | checkpoint |
      | get       | chunk      |
      | list      | job        |

  Scenario: A commit took effect, its answer was lost, and the chunk changed hands before the holder was back
    Given a batch fleet with the runners "a, b"
    When 40 batch items are uploaded
    And the batch runner "a" loses every answer to its commits once it runs items
    And the batch runner "a" wrote a commit and lost its answer
    And the batch runner "a" freezes
    And 60 s pass in the batch fleet
    And the platform is back for the batch fleet
    And the batch runner "a" thaws
    Then the batch job is "done" within 120 s
    And each of the 40 batch items has 1 result, "done"

  Scenario: Items not to be repeated run at most once when their runner is killed
    Given a batch fleet with the runners "a, b"
    When 40 batch items that must not be repeated are uploaded
    And the batch runner "a" runs items
    And the batch runner "a" is killed
    Then the batch job is "done" within 120 s
    And no batch item ran twice
    And each of the 40 batch items has 1 result, "done" or "unknown"
    And at least 1 batch item is "unknown"

  Scenario: Items not to be repeated do not start while their intent can't be written
    Given a batch fleet with the runners "a"
    When the platform refuses put of "checkpoint" after the first for the batch fleet
    And 5 batch items that must not be repeated are uploaded
    And 20 s pass in the batch fleet
    Then no batch item ran
    When the platform is back for the batch fleet
    Then the batch job is "done" within 60 s
    And no batch item ran twice

  Scenario: An item not to be repeated whose target fails ends as unknown
    Given a batch fleet with the runners "a"
    When 10 batch items that must not be repeated are uploaded, of which item 3 holds "FAIL"
    Then the batch job is "done" within 60 s
    And no batch item ran twice
    And batch item 3 is "unknown" for "onceUnknown" after 1 runs

  Scenario: An item not to be repeated runs to its end when its slot is taken back
    Given a batch fleet with the runners "a"
    When 6 batch items that must not be repeated are uploaded
    And batch items are running with some tokens
    And every batch slot is taken back
    And batch slots are granted again
    Then the batch job is "done" within 60 s
    And no batch run was cancelled or taken up again
    And each of the 6 batch items has 1 result, "done"

  Scenario: A job is cancelled while its runner can't reach the platform
    Given a batch fleet with the runners "a, b"
    When 40 batch items are uploaded
    And the batch runner "a" runs items
    And the batch runner "a" is cut off from the platform
    And the batch job is cancelled
    Then the batch job is "cancelled" within 30 s
    When the platform is back for the batch fleet
    Then nothing about the batch job changes in 120 s
    And no batch stream runs on a target

  Scenario: A job is cancelled while its runner is frozen
    Given a batch fleet with the runners "a, b"
    When 40 batch items that must not be repeated are uploaded
    And the batch runner "a" runs items
    And the batch runner "a" freezes
    And the batch job is cancelled
    Then the batch job is "cancelled" within 30 s
    When the batch runner "a" thaws
    Then nothing about the batch job changes in 120 s
    And every batch item that ran has a result

  Scenario: A runner that thaws with a slot just granted starts nothing of a job that was cancelled meanwhile
    Given a batch fleet with the runners "a, b"
    When 40 batch items are uploaded
    And the batch runner "a" runs items
    And each batch slot takes 3 s to be granted
    And batch items wait for their slots
    And the batch runner "a" freezes, and its slots come before its news when it thaws
    And the batch job is cancelled
    Then the batch job is "cancelled" within 60 s
    When the batch runner "a" thaws
    Then no batch run began after the job had ended

  Scenario: A claim that meets a cancellation runs nothing
    Given a batch fleet with the runners "a"
    When the batch job is going to be cancelled at the moment of its first claim
    And 10 batch items are uploaded
    And 5 s pass in the batch fleet
    Then no batch item ran
    When the platform is back for the batch fleet
    Then the batch job is "cancelled" within 30 s
    And no batch item ran

  Scenario: A runner stops within its bound although its streams do not react to being cancelled
    Given a batch fleet with the runners "a, b"
    When 40 batch items are uploaded
    And the batch runner "a" runs items
    And the streams of batch runner "a" go silent for good
    And the batch runner "a" is told to stop and has ended within 40 s
    Then the batch job is "done" within 60 s
    And each of the 40 batch items has 1 result, "done"
