Feature: Platform stand-in

  Background:
    Given a platform stand-in that allows 5 writes per second

  Scenario: Writes are conditional on the revision
    When the platform stand-in gets a write of "a" at revision 0
    And the platform stand-in gets a write of "a" at revision 0
    Then the platform stand-in answered 200, 409
    And the platform stand-in included the current revision 1 in its last response

  Scenario: A write whose response is lost still takes effect
    Given the platform stand-in drops the next response
    When the platform stand-in gets a write of "a" at revision 0
    Then the platform stand-in closed the connection
    And the platform stand-in stores "a"

  Scenario: A waiting watch ends with the next change
    When the platform stand-in gets a waiting watch
    And the platform stand-in gets a write of "a" at revision 0
    Then the watch of the platform stand-in ends with "a"
    And the platform stand-in counted 1 watch and 1 put

  Scenario: A watch from before the retained history must list again
    When the platform stand-in gets a write of "a" at revision 0
    And the platform stand-in compacts its history
    Then a watch of the platform stand-in from revision 0 must list again

  Scenario: Stale reads see the state at the time they were switched on
    When the platform stand-in gets a write of "a" at revision 0
    And the reads of the platform stand-in become stale
    And the platform stand-in gets a write of "b" at revision 0
    Then the platform stand-in lists "a"
    When the reads of the platform stand-in become fresh
    Then the platform stand-in lists "a, b"

  Scenario: Lists are paged and ordered by name
    When the platform stand-in gets a write of "c" at revision 0
    And the platform stand-in gets a write of "a" at revision 0
    And the platform stand-in gets a write of "b" at revision 0
    Then the platform stand-in lists "a, b, c" in pages of 2

  Scenario: Writes over the rate limit are rejected and counted
    When the platform stand-in gets 6 writes at once
    Then the platform stand-in rejected 1 of them with 429
    When a second passes for the platform stand-in
    And the platform stand-in gets a write of "later" at revision 0
    Then the platform stand-in answered 200

  Scenario: Values over one mebibyte are rejected
    When the platform stand-in gets a write of 1048577 bytes
    Then the platform stand-in answered 413

  Scenario: Changes appear in the instance list with a delay
    Given the instance list of the platform stand-in is one second behind
    When an engine is added to the platform stand-in
    Then the platform stand-in shows 0 instances
    When a second passes for the platform stand-in
    Then the platform stand-in shows 1 instances

  Scenario: Weight transfers share the bandwidth, with limited concurrency
    When the platform stand-in gets 5 weight transfers at once
    Then the platform stand-in rejected 1 of them with 429
