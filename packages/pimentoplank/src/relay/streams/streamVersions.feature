Feature: Versions of streams that instances tell each other

  Scenario: A peer hears at which version a stream begins
    When stream "r1" begins at a target of version "v1"
    Then a peer that hears of it knows version "v1" of "r1"

  Scenario: A stream begins once
    When stream "r1" begins at a target of version "v1"
    And stream "r1" begins at a target of version "v2"
    Then version "v1" of "r1" is known here
    And a peer that hears of it knows version "v1" of "r1"

  Scenario: A version that is known doesn't change any more
    When a peer tells version "v1" of "r1"
    And a peer tells version "v2" of "r1"
    And a peer tells version "none" of "r1"
    Then version "v1" of "r1" is known here

  Scenario: A version that becomes known late is learned
    When a peer tells version "none" of "r1"
    And a peer tells version "v1" of "r1"
    Then version "v1" of "r1" is known here

  Scenario: A report of a peer tells of streams that have begun
    When a report of "a" tells version "v1" of "r1"
    Then version "v1" of "r1" is known here

  Scenario: Where a peer of an older version has placed a stream may change, so that only that peer knows
    When a report of "a" in an older version tells version "v1" of "r1"
    Then nothing of "r1" is known here
    And "r1" is known to have been placed by "a"

  Scenario: A stream at a process that no entry describes has no version until its entry is known
    When stream "r1" begins at a target of version "v1"
    And stream "r2" begins at that target, where a process answers that started at 2000
    Then version "v1" of "r1" is known here
    And a peer that hears of it knows version "none" of "r2"
    When 3000 ms pass for the streams
    And the target is registered with version "v2" and start 2000
    Then version "v1" of "r1" is known here
    And a peer that hears of it knows version "v2" of "r2"

  Scenario: An entry of a third process tells nothing of a stream at the second one
    When stream "r1" begins at a target of version "v1"
    And stream "r2" begins at that target, where a process answers that started at 2000
    And the target is registered with version "v3" and start 3000
    Then a peer that hears of it knows version "none" of "r2"

  Scenario: An entry that was updated while the stream was sent tells its version at once
    Given the target has been registered with version "v2" and start 2000
    When stream "r1" begins at a target of version "v1"
    And stream "r2" begins at that target, where a process answers that started at 2000
    Then version "v1" of "r1" is known here
    And a peer that hears of it knows version "v2" of "r2"

  Scenario: Streams that begin are told for a second and known for an hour, since callers may come with a new deadline
    When stream "r1" begins at a target of version "v1"
    And 900 ms pass for the streams
    Then full reports tell 1 stream, load updates 0
    When 600 ms pass for the streams
    Then full reports tell 0 streams, load updates 0
    And version "v1" of "r1" is known here
    When 3598000 ms pass for the streams
    Then version "v1" of "r1" is known here
    When 2000 ms pass for the streams
    Then nothing of "r1" is known here

  Scenario: A report of many streams stays small
    When 5000 streams begin at once
    Then the load update has at most 1400 bytes
    And full reports tell 64 streams, load updates 64

  Scenario: A peer hears at which service a stream begins
    When stream "r1" begins at a target of version "v1"
    Then a peer that hears of it knows service "s" of "r1"

  Scenario: A service that is heard of after the version is learned, and doesn't change any more
    When a peer tells version "v1" of "r1"
    Then service "none" of "r1" is known here
    When a peer tells version "v2" and service "x" of "r1"
    Then service "none" of "r1" is known here
    When a peer tells version "v1" and service "s" of "r1"
    And a peer tells version "v1" and service "x" of "r1"
    Then service "s" of "r1" is known here
    And version "v1" of "r1" is known here
