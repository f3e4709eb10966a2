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

  Scenario: Two runners with the same instance id
    Given a batch fleet with the runners "a/1"
    When 60 batch items are uploaded
    And the batch runner "a/1" runs items
    And the batch runner "a/2" starts
    Then the batch job is "done" within 120 s
    And the batch runner "a/2" ran nothing
    And each of the 60 batch items ran exactly once on the targets

  Scenario: The second runner with an instance id takes over after the first is killed
    Given a batch fleet with the runners "a/1"
    When 40 batch items are uploaded
    And the batch runner "a/1" has committed results and runs items
    And the batch runner "a/1" is killed
    And the batch runner "a/2" starts
    Then the batch job is "done" within 120 s
    And each of the 40 batch items has 1 result, "done"

  Scenario: The runner that completed the last chunk is killed before it finalizes the job
    Given a batch fleet with the runners "a"
    When 10 batch items are uploaded
    And the batch runner "a" is killed before it can write the job
    And the batch runner "b" starts
    Then the batch job is "done" within 120 s
    And each of the 10 batch items ran exactly once on the targets

  Scenario: The platform is unavailable while chunks are processed
    Given a batch fleet with the runners "a, b"
    When 20 batch items are uploaded
    And the batch runner "a" runs items
    And the platform is unavailable to the batch fleet
    And 60 s pass in the batch fleet
    Then batch items of claimed chunks have run meanwhile
    When the platform is available to the batch fleet again
    Then the batch job is "done" within 60 s
    And each of the 20 batch items ran exactly once on the targets
    And each of the 20 batch items has 1 result, "done"

  Scenario: Processing pauses when the platform is unavailable for longer than the limit
    Given a batch fleet with the runners "a" that keeps running for 2 s without the platform
    When 20 batch items are uploaded
    And the batch runner "a" runs items
    And no more batch slots are granted
    And the platform is unavailable to the batch fleet
    And 40 s pass in the batch fleet
    Then no batch item starts in 60 s
    When the platform is available to the batch fleet again
    And batch slots are granted again
    Then the batch job is "done" within 60 s
    And each of the 20 batch items has 1 result, "done"

  Scenario Outline: Responses to <operation> of "<kind>" are lost after the operation took effect
    Given a batch fleet with the runners "a, b"
    When the batch fleet loses 2 of 3 responses to <operation> of "<kind>"
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
    And the platform is available to the batch fleet again
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

  Scenario: A commit takes effect, its response is lost, and the chunk is taken over before its owner recovers
    Given a batch fleet with the runners "a, b"
    When 40 batch items are uploaded
    And the batch runner "a" loses every response to its commits once it runs items
    And the batch runner "a" has written a commit and lost the response
    And the batch runner "a" freezes
    And 60 s pass in the batch fleet
    And the platform is available to the batch fleet again
    And the batch runner "a" thaws
    Then the batch job is "done" within 120 s
    And each of the 40 batch items has 1 result, "done"

  Scenario: At-most-once items do not run twice when their runner is killed
    Given a batch fleet with the runners "a, b"
    When 40 at-most-once batch items are uploaded
    And the batch runner "a" runs items
    And the batch runner "a" is killed
    Then the batch job is "done" within 120 s
    And no batch item ran twice
    And each of the 40 batch items has 1 result, "done" or "unknown"
    And at least 1 batch item is "unknown"

  Scenario: At-most-once items do not start while their intents can't be written
    Given a batch fleet with the runners "a"
    When the platform refuses put of "checkpoint" after the first for the batch fleet
    And 5 at-most-once batch items are uploaded
    And 20 s pass in the batch fleet
    Then no batch item ran
    When the platform is available to the batch fleet again
    Then the batch job is "done" within 60 s
    And no batch item ran twice

  Scenario: An at-most-once item whose target fails ends as unknown
    Given a batch fleet with the runners "a"
    When 10 at-most-once batch items are uploaded, of which item 3 contains "FAIL"
    Then the batch job is "done" within 60 s
    And no batch item ran twice
    And batch item 3 is "unknown" for "onceUnknown" after 1 runs

  Scenario: An at-most-once item runs to completion when its slot is revoked
    Given a batch fleet with the runners "a"
    When 6 at-most-once batch items are uploaded
    And batch items are running with some tokens
    And every batch slot is revoked
    And batch slots are granted again
    Then the batch job is "done" within 60 s
    And no batch run was cancelled or resumed
    And each of the 6 batch items has 1 result, "done"

  Scenario: A job is cancelled while its runner can't reach the platform
    Given a batch fleet with the runners "a, b"
    When 40 batch items are uploaded
    And the batch runner "a" runs items
    And the batch runner "a" is cut off from the platform
    And the batch job is cancelled
    Then the batch job is "cancelled" within 30 s
    When the platform is available to the batch fleet again
    Then nothing about the batch job changes in 120 s
    And no batch stream runs on a target

  Scenario: A job is cancelled while its runner is frozen
    Given a batch fleet with the runners "a, b"
    When 40 at-most-once batch items are uploaded
    And the batch runner "a" runs items
    And the batch runner "a" freezes
    And the batch job is cancelled
    Then the batch job is "cancelled" within 30 s
    When the batch runner "a" thaws
    Then nothing about the batch job changes in 120 s
    And every batch item that ran has a result

  Scenario: A runner that thaws with a newly granted slot runs no item of a job that was cancelled meanwhile
    Given a batch fleet with the runners "a, b"
    When 40 batch items are uploaded
    And the batch runner "a" runs items
    And each batch slot takes 3 s to be granted
    And batch items are waiting for slots
    And the batch runner "a" freezes, and when it thaws its slots arrive before its feed events
    And the batch job is cancelled
    Then the batch job is "cancelled" within 60 s
    When the batch runner "a" thaws
    Then no batch run began after the job had ended

  Scenario: No item of a runner that thaws starts while the first of them still checks the claim
    Given a batch fleet with the runners "a, b"
    When 40 batch items are uploaded
    And the batch runner "a" runs items
    And each batch slot takes 3 s to be granted
    And batch items are waiting for slots
    And the batch runner "a" freezes, and when it thaws its slots arrive before its feed events
    And the batch job is cancelled
    Then the batch job is "cancelled" within 60 s
    When reads of checkpoints by the batch runner "a" take 200 ms
    And the batch runner "a" thaws
    Then no batch run began after the job had ended

  Scenario: A claim that races with a cancellation runs no items
    Given a batch fleet with the runners "a"
    When the batch job will be cancelled during its first claim
    And 10 batch items are uploaded
    And 5 s pass in the batch fleet
    Then no batch item ran
    When the platform is available to the batch fleet again
    Then the batch job is "cancelled" within 30 s
    And no batch item ran

  Scenario: A runner that hears no changes starts no item of a job whose cancellation is final
    Given a batch fleet with the runners "a, b", scans each second and chunks of 400 items
    When 400 batch items are uploaded
    And the batch runner "a" runs items
    And the batch runner "a" receives no feed events
    And the batch job is cancelled
    Then the batch job is "cancelled" within 30 s
    And no batch item starts in 30 s

  Scenario: A runner that hears no changes and gets late answers starts no item of a job whose cancellation is final
    Given a batch fleet with the runners "a, b", scans each second and chunks of 400 items
    When reads of jobs by the batch runner "a" are answered after 1100 ms
    And 400 batch items are uploaded
    And the batch runner "a" runs items
    And the batch runner "a" receives no feed events
    And the batch job is cancelled
    Then the batch job is "cancelled" within 30 s
    And no batch item starts in 30 s

  Scenario: A runner that is cut off starts no item of a job whose cancellation is final
    Given a batch fleet with the runners "a, b", scans each second and chunks of 400 items
    When 400 batch items are uploaded
    And the batch runner "a" runs items
    And the batch runner "a" is cut off from the platform
    And the batch job is cancelled
    Then the batch job is "cancelled" within 30 s
    And no batch item starts in 40 s

  Scenario: An earlier holder starts no item of a job that is cancelled right after its chunks were taken over
    Given a batch fleet with the runners "a, b", scans each second and chunks of 400 items
    When 400 batch items are uploaded
    And the batch runner "a" runs items
    And the batch runner "a" reaches jobs at the platform only, and receives no feed events
    And a chunk of the batch job has been taken over
    And the batch runner "a" is cut off from the platform
    And the batch job is cancelled
    Then the batch job is "cancelled" within 30 s
    And no batch item starts in 30 s

  Scenario: A cancellation is not final while a page of checkpoints is older than it
    Given a batch fleet with the runners "a" that hold 1 chunk of 1 item at a time
    When 400 batch items are uploaded
    And only chunks after the first 100 claimed ones are open, and "c" reads later pages from before their claims
    And no more batch slots are granted
    And the batch runner "a" receives no feed events
    And the batch runner "c" starts
    And the batch job is cancelled
    And 8 s pass in the batch fleet
    Then the batch job is still "cancelling"
    When later pages of checkpoints are current again
    Then the batch job is "cancelled" within 30 s

  Scenario Outline: No item starts later than the grace after a cancellation was accepted by a runner that <hears nothing>
    Given a batch fleet with the runners "a, b", scans each second and chunks of 400 items
    When 400 batch items are uploaded
    And the batch runner "a" runs items
    And the batch runner "a" <hears nothing>
    And the batch job is cancelled
    And 5 s pass in the batch fleet
    Then no batch item starts in 40 s

    Examples:
      | hears nothing                |
      | receives no feed events      |
      | is cut off from the platform |

  Scenario: A runner that is stopping starts no item of a job whose cancellation is final
    Given a batch fleet with the runners "a, c", scans each second and chunks of 400 items
    When 400 batch items are uploaded
    And the batch runner "a" runs items
    And each batch slot takes 11 s to be granted
    And batch items are waiting for slots
    And the batch runner "a" begins to stop
    And the batch job is cancelled
    Then the batch job is "cancelled" within 30 s
    And no batch item starts in 30 s

  Scenario: A claim that is written after the cancellation is final runs no items
    Given a batch fleet with the runners "a"
    When the first claim of the batch runner "a" is written 20 s late
    And 10 batch items are uploaded
    And the batch runner "b" starts
    And the batch job is cancelled
    Then the batch job is "cancelled" within 15 s
    And no batch item starts in 40 s
    And no batch item ran

  Scenario: A cancellation is carried out although the answer of its write was lost
    Given a batch fleet with the runners "a, b"
    When 40 batch items are uploaded
    And the batch runner "a" runs items
    And the batch job is cancelled, the answer of the platform is lost, and it is cancelled again
    Then the batch job is "cancelled" within 30 s
    And no batch item starts in 30 s

  Scenario: A job that was cancelled stays so when it is submitted again
    Given a batch fleet with the runners "a, b"
    When 40 batch items are uploaded
    And the batch runner "a" runs items
    And the batch job is cancelled
    And the same 40 batch items are uploaded again
    Then the batch job is "cancelled" within 30 s
    When the same 40 batch items are uploaded again
    Then the batch job is "cancelled" within 1 s
    And no batch item starts in 30 s

  Scenario: A runner stops within its time limit although its streams do not react to cancellation
    Given a batch fleet with the runners "a, b"
    When 40 batch items are uploaded
    And the batch runner "a" runs items
    And the streams of batch runner "a" stop responding
    And the batch runner "a" is stopped and has exited within 40 s
    Then the batch job is "done" within 60 s
    And each of the 40 batch items has 1 result, "done"
