Feature: Versions of streams that instances tell each other

  Scenario: A peer hears at which version a stream was placed
    When attempt "r1" is placed at a target of version "v1"
    Then a peer that hears of it knows version "v1" of "r1"

  Scenario: A later placement replaces an earlier one, and peers hear of it
    When attempt "r1" is placed at a target of version "v1"
    And attempt "r1" is placed at a target of version "v2"
    Then a peer that hears of it knows version "v2" of "r1"

  Scenario: A target that comes back at another version leaves its latest runs in doubt
    When attempt "r1" is placed at a target of version "v1"
    And 2000 ms pass for the streams
    And attempt "r2" is placed at a target of version "v1"
    And 300 ms pass for the streams
    And the target is registered with another version
    Then version "v1" of "r1" is known here
    And a peer that hears of it knows version "none" of "r2"

  Scenario: Placements are told for a second and known until the caller's deadline
    When attempt "r1" is placed at a target of version "v1"
    And 900 ms pass for the streams
    Then full reports tell 1 stream, load updates 0
    When 600 ms pass for the streams
    Then full reports tell 0 streams, load updates 0
    And version "v1" of "r1" is known here
    When 9000 ms pass for the streams
    Then nothing of "r1" is known here

  Scenario: A report of many placements stays small
    When 5000 attempts are placed at once
    Then the load update has at most 1400 bytes
    And full reports tell 64 streams, load updates 64
