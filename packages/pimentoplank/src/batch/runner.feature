Feature: Batch runners

  Scenario: Runners share a job and finish each item once
    Given a batch fleet with the runners "a, b, c"
    When 60 batch items are uploaded
    Then the batch job is "done" within 60 s
    And each of the 60 batch items has 1 result, "done"
    And each of the 60 batch items ran exactly once on the targets
    And every batch runner ran at least 5 items

  Scenario: Results can be read while the job runs, without duplicates
    Given a batch fleet with the runners "a"
    When 60 batch items are uploaded
    Then batch results grow while the job runs, with no duplicate id
    And the batch job is "done" within 120 s

  Scenario: A revoked slot is released at once, and its item resumes where it stopped
    Given a batch fleet with the runners "a"
    When 6 batch items are uploaded
    And batch items are running with some tokens
    And every batch slot is revoked
    Then no batch stream runs on a target
    When batch slots are granted again
    Then the batch job is "done" within 60 s
    And resumed batch runs continued after the tokens already received
    And each of the 6 batch items has 1 result, "done"

  Scenario: An item that fails on every run ends as failed and does not block the job
    Given a batch fleet with the runners "a"
    When 20 batch items are uploaded, of which item 7 contains "FAIL"
    Then the batch job is "done" within 60 s
    And batch item 7 is "failed" for "targetFailed" after 3 runs
    And the other 19 batch items are "done"

  Scenario: A sound item under which target after target crashes is run until it is done
    Given a batch fleet with the runners "a"
    And 8 runs of items with "CRASH" crash their targets, which are back after 2 s
    When 20 batch items are uploaded, of which item 7 contains "CRASH"
    Then the batch job is "done" within 600 s
    And each of the 20 batch items has 1 result, "done"

  Scenario: An item runs again at the only target, although its run broke off there
    Given a batch fleet with the runners "a" and 1 target
    And 1 runs of items with "CRASH" crash their targets, which are back after 2 s
    When 10 batch items are uploaded, of which item 7 contains "CRASH"
    Then the batch job is "done" within 120 s
    And each of the 10 batch items has 1 result, "done"

  Scenario: An item that crashes each target is kept, runs ever more rarely, and delays no other item
    Given a batch fleet with the runners "a"
    And 1000 runs of items with "CRASH" crash their targets, which are back after 2 s
    When 20 batch items are uploaded, of which item 7 contains "CRASH"
    Then 19 batch items are "done" within 120 s
    And within 20 minutes batch item 7 runs at least 10 and at most 14 times, without a result

  Scenario: An at-most-once item is not given up while its target is silent
    Given a batch fleet with the runners "a"
    When 10 at-most-once batch items are uploaded, of which item 3 contains "SILENT"
    Then the batch job is "done" within 60 s
    And each of the 10 batch items has 1 result, "done"
    And no batch item ran twice

  Scenario: An item is given up at a silent target only once a slot elsewhere is granted
    Given a batch fleet with the runners "a"
    When 10 batch items are uploaded, of which item 3 contains "SILENT"
    And the batch runner "a" runs items
    And each batch slot takes 30 s to be granted
    Then the batch job is "done" within 200 s
    And no batch run was cancelled or resumed
    And each of the 10 batch items has 1 result, "done"

  Scenario: An item leaves a target that stays silent, and goes on elsewhere where it stopped
    Given a batch fleet with the runners "a"
    And targets are silent for 600 s under items with "SILENT"
    When 10 batch items are uploaded, of which item 3 contains "SILENT"
    Then the batch job is "done" within 60 s
    And resumed batch runs continued after the tokens already received
    And each of the 10 batch items has 1 result, "done"

  Scenario: An item leaves a silent target for one of the same software version
    Given a batch fleet with the runners "a" and targets of the software versions "1, 2, 1"
    And targets are silent for 600 s under items with "SILENT"
    When 10 batch items are uploaded, of which item 3 contains "SILENT"
    Then the batch job is "done" within 60 s
    And no batch item went on at another software version, and 1 or more went on

  Scenario: An item whose target is back at another software version goes on at one of its own
    Given a batch fleet with the runners "a" and targets of the software versions "1, 2, 1"
    When 6 batch items are uploaded
    And batch items are running with some tokens
    And every batch slot is revoked
    And batch target 0 is back at software version 2
    And batch slots are granted again
    Then the batch job is "done" within 60 s
    And no batch item went on at another software version, and 1 or more went on
    And each of the 6 batch items has 1 result, "done"

  Scenario: Items begin anew when no target of their software version is left
    Given a batch fleet with the runners "a" and targets of the software versions "1, 2"
    When 4 batch items are uploaded
    And batch items are running with some tokens
    And every batch slot is revoked
    And batch target 0 is back at software version 2
    And batch slots are granted again
    Then the batch job is "done" within 60 s
    And no batch item went on at another software version, and 0 or more went on
    And batch item 0 was begun 2 times
    And each of the 4 batch items has 1 result, "done"

  Scenario: A stopped runner releases its chunks at once
    Given a batch fleet with the runners "a, b"
    When 40 batch items are uploaded
    And the batch runner "a" runs items
    And the batch runner "a" is stopped
    Then the batch job is "done" within 20 s
    And each of the 40 batch items ran exactly once on the targets
    And each of the 40 batch items has 1 result, "done"

  Scenario: A cancelled job stops at once, and its state is final
    Given a batch fleet with the runners "a, b"
    When 60 batch items are uploaded
    And the batch runner "a" runs items
    And the batch job is cancelled
    Then no batch stream runs on a target
    And the batch job is "cancelled" within 30 s
    And nothing about the batch job changes in 120 s

  Scenario: A cancelled job ends although no runner ever claimed a chunk of it
    Given a batch fleet without runners
    When 10 batch items are uploaded
    And the batch job is cancelled
    And the batch runner "a" starts
    Then the batch job is "cancelled" within 30 s
    And no batch item ran

  Scenario: Orphaned parts are removed only after the configured delay
    Given a batch fleet with the runners "a"
    When a batch upload is aborted after 2 chunks
    And 10 batch items are uploaded
    And 50 minutes pass in the batch fleet
    Then the aborted batch upload has 3 objects left
    When 40 minutes pass in the batch fleet
    Then the aborted batch upload has 0 objects left
    And each of the 10 batch items has 1 result, "done"

  Scenario: A job past its retention is removed with all its parts
    Given a batch fleet with the runners "a" that retains jobs for 30 minutes
    When 10 batch items are uploaded
    And the batch job is "done" within 60 s
    And 160 minutes pass in the batch fleet
    Then the platform stores no object of a batch job
