Feature: Memory budget
  Sizes in KiB, in virtual time.

  Background:
    Given a memory budget of 1024 KiB

  Scenario: What is closed can be used again
    When account "a" takes 60 KiB
    And account "a" is closed
    Then 0 KiB of the budget are in use

  Scenario: The newcomer is refused while all others make progress
    Given 17 accounts of 60 KiB each
    When account "new" takes 60 KiB
    Then account "new" is refused
    And no account was evicted

  Scenario: The account without progress for longest gives way
    Given 17 accounts of 60 KiB each
    When 600 ms pass for the budget
    And all accounts but "a3" and "a5" make progress
    And account "new" takes 60 KiB
    Then account "new" has its memory
    And account "a3" was evicted
    And 1 account was evicted, with 1 log line and a count of 1

  Scenario: Nothing gives way that has made progress a moment ago
    Given 17 accounts of 60 KiB each
    When 400 ms pass for the budget
    And account "new" takes 60 KiB
    Then account "new" is refused
    And no account was evicted

  Scenario: As many give way as are needed
    Given 17 accounts of 60 KiB each
    When 600 ms pass for the budget
    And account "new" takes 700 KiB
    Then account "new" has its memory
    And 12 accounts were evicted, with 12 log lines and a count of 12

  Scenario: Nothing is evicted where that would not make enough room
    Given 17 accounts of 60 KiB each
    When 600 ms pass for the budget
    And all accounts but "a3" make progress
    And account "new" takes 200 KiB
    Then account "new" is refused
    And no account was evicted

  Scenario: A stalled account that asks for more is refused before others are evicted
    Given 17 accounts of 60 KiB each
    When 600 ms pass for the budget
    And account "a1" takes 90 KiB
    Then account "a1" is refused
    And no account was evicted

  Scenario: Large holdings leave room for small ones
    Given 3 accounts of 250 KiB each
    When account "large" takes 100 KiB
    And account "small" takes 60 KiB
    Then account "large" is refused
    And account "small" has its memory

  Scenario: Small holdings stay where only large ones can make room for a large one
    Given 3 accounts of 10 KiB each
    And account "large" takes 700 KiB
    When 600 ms pass for the budget
    And account "new" takes 500 KiB
    Then account "new" has its memory
    And account "large" was evicted
    And 1 account was evicted, with 1 log line and a count of 1

  Scenario: An account that cannot be evicted stays
    Given account "kept" takes 700 KiB for good
    When 5000 ms pass for the budget
    And account "new" takes 700 KiB
    Then account "new" is refused
    And 700 KiB of the budget are in use

  Scenario: An evicted account gets nothing more
    Given account "a" takes 700 KiB
    When 600 ms pass for the budget
    And account "new" takes 700 KiB
    And account "a" takes 10 KiB
    Then account "a" is refused
    And 700 KiB of the budget are in use

  Scenario: Memory that is in use already counts, also beyond the budget
    Given 17 accounts of 60 KiB each
    When account "answer" is charged with 60 KiB
    Then no account was evicted
    And 1080 KiB of the budget are in use
    When account "new" takes 10 KiB
    Then account "new" is refused

  Scenario: An account gives way only while it can be evicted
    Given account "a" takes 700 KiB
    And account "a" cannot be evicted
    When 600 ms pass for the budget
    And account "new" takes 700 KiB
    Then account "new" is refused
    When account "a" can be evicted
    And 600 ms pass for the budget
    And account "new" takes 700 KiB
    Then account "new" has its memory
    And account "a" was evicted
