Feature: Release notes

  Scenario: A note that cannot be applied changes nothing and lists everything that is wrong
    Given a release log with service "desk-lm", model "desk-8b" of it and account "desk"
    When an operator applies a note that is wrong in five ways
    Then the note is refused for exactly "added.0 changed.0 withdrawn.0 added.1.service added.2.keyHash"
    And the release log is at 1

  Scenario: Of many operators with one base exactly one wins, and the others see the differences
    Given a release log with service "desk-lm", model "desk-8b" of it and account "desk"
    When 12 operators apply notes on base 1 at the same time
    Then exactly one operator's note is applied
    And every other operator is told of the winner's change
    And the release log is at 2

  Scenario: A write that won although its answer was lost is reported as won
    Given a release log with service "desk-lm", model "desk-8b" of it and account "desk"
    When the platform loses the answers of the next 1 writes
    And 1 operators apply notes on base 1 at the same time
    Then exactly one operator's note is applied
    And the release log is at 2

  Scenario: A write that won is reported as won after all tries of the client were lost too
    Given a release log whose next write takes effect while its answer stays out
    When an operator applies a first note there
    Then the operator is told that the configuration is at 1
    And the log holds that note once

  Scenario: A note on a base that is not reached yet changes nothing
    Given a release log with service "desk-lm", model "desk-8b" of it and account "desk"
    When 1 operators apply notes on base 5 at the same time
    Then no operator's note is applied
    And the release log is at 1 and holds 1 note

  Scenario: A note on a base that was trimmed long ago does not count
    Given a release log with service "desk-lm", model "desk-8b" of it and account "desk"
    And an operator who has read the log at 1 and pauses before the write
    When the log moves on to 4 and its notes are replaced by a snapshot
    And the paused operator writes
    Then the paused operator is told that the configuration is at 4
    And the release log is at 4

  Scenario: Random notes by racing operators leave one history that everyone agrees on
    Given random notes, applied by operators who read at random moments
    Then every reader of the release log ends with the same entries as its accepted notes in order
