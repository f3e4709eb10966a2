Feature: Release notes

  Scenario: A note that cannot be applied changes nothing and lists all its issues
    Given a release log with service "desk-lm", model "desk-8b" of it and account "desk"
    When an operator applies a note with five issues
    Then the note is rejected with issues at exactly "added.0 changed.0 withdrawn.0 added.1.service added.2.keyHash"
    And the release log is at 1

  Scenario: Of many concurrent notes on one base exactly one is applied, and the other operators get the differences
    Given a release log with service "desk-lm", model "desk-8b" of it and account "desk"
    When 12 operators apply notes on base 1 at the same time
    Then exactly one operator's note is applied
    And every other operator gets a conflict with the applied change
    And the release log is at 2

  Scenario: A write that was applied although its response was lost is reported as applied
    Given a release log with service "desk-lm", model "desk-8b" of it and account "desk"
    When the platform loses the responses of the next 1 writes
    And 1 operators apply notes on base 1 at the same time
    Then exactly one operator's note is applied
    And the release log is at 2

  Scenario: A write that was applied is reported as applied after all retries of the client failed too
    Given a release log whose next write is applied but gets no response
    When an operator applies a first note there
    Then the operator is told that the configuration is at 1
    And the log holds that note once

  Scenario: A note on a base in the future changes nothing
    Given a release log with service "desk-lm", model "desk-8b" of it and account "desk"
    When 1 operators apply notes on base 5 at the same time
    Then no operator's note is applied
    And the release log is at 1 and holds 1 note

  Scenario: A note on a base that has been trimmed is rejected
    Given a release log with service "desk-lm", model "desk-8b" of it and account "desk"
    And an operator who has read the log at 1 and pauses before the write
    When the log moves on to 4 and its notes are replaced by a snapshot
    And the paused operator writes
    Then the paused operator gets a conflict: the configuration is at 4
    And the release log is at 4

  Scenario: Random notes by concurrent operators leave one history for all readers
    Given random notes, applied by operators who read at random moments
    Then every reader of the release log ends with the same entries as its accepted notes in order
