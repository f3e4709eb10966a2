Feature: Platform stand-in

  Background:
    Given a platform stand-in that allows 5 writes a second

  Scenario: Writes are conditional on the revision
    When the platform stand-in gets a write of "a" at revision 0
    And the platform stand-in gets a write of "a" at revision 0
    Then the platform stand-in answered 200, 409
    And the platform stand-in named the current revision 1 in its last answer

  Scenario: A lost answer is the answer to a write that took effect
    Given the platform stand-in loses the next answer
    When the platform stand-in gets a write of "a" at revision 0
    Then the platform stand-in broke the connection
    And the platform stand-in keeps "a"

  Scenario: A waiting watch ends with the next change
    When the platform stand-in gets a watch that waits
    And the platform stand-in gets a write of "a" at revision 0
    Then the watch of the platform stand-in ends with "a"
    And the platform stand-in counted 1 watch and 1 put

  Scenario: A watch from before the kept history must list again
    When the platform stand-in gets a write of "a" at revision 0
    And the platform stand-in forgets its history
    Then a watch of the platform stand-in from revision 0 is told to list again

  Scenario: Stale reads come from the time when they were switched on
    When the platform stand-in gets a write of "a" at revision 0
    And the platform stand-in turns its reads stale
    And the platform stand-in gets a write of "b" at revision 0
    Then the platform stand-in lists "a"
    When the platform stand-in turns its reads fresh
    Then the platform stand-in lists "a, b"

  Scenario: Lists come in pages, in order of name
    When the platform stand-in gets a write of "c" at revision 0
    And the platform stand-in gets a write of "a" at revision 0
    And the platform stand-in gets a write of "b" at revision 0
    Then the platform stand-in lists "a, b, c" in pages of 2

  Scenario: Writes over the rate are refused and counted
    When the platform stand-in gets 6 writes at once
    Then the platform stand-in refused 1 of them with 429
    When a second passes for the platform stand-in
    And the platform stand-in gets a write of "later" at revision 0
    Then the platform stand-in answered 200

  Scenario: Values over one mebibyte are refused
    When the platform stand-in gets a write of 1048577 bytes
    Then the platform stand-in answered 413

  Scenario: The instance list lags
    Given the instance list of the platform stand-in lags a second
    When an engine is added to the platform stand-in
    Then the platform stand-in shows 0 instances
    When a second passes for the platform stand-in
    Then the platform stand-in shows 1 instances

  Scenario: Weights are transferred one after the other, a few at once
    When the platform stand-in is asked for 5 transfers of weights at once
    Then the platform stand-in refused 1 of them with 429
