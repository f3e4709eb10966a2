Feature: Versions of streams that instances tell each other

  Scenario: A peer hears at which version a stream was placed
    When attempt "r1" is placed at a target of version "v1"
    Then a peer that hears of it knows version "v1" of "r1"

  Scenario: A later placement replaces an earlier one, and peers hear of it
    When attempt "r1" is placed at a target of version "v1"
    And attempt "r1" is placed at a target of version "v2"
    Then a peer that hears of it knows version "v2" of "r1"

  Scenario: A stream at a process that no entry describes has no version until its entry is known
    When attempt "r1" is placed at a target of version "v1"
    And attempt "r2" is placed at that target, where a process answers that started at 2000
    Then version "v1" of "r1" is known here
    And a peer that hears of it knows version "none" of "r2"
    When 3000 ms pass for the streams
    And the target is registered with version "v2" and start 2000
    Then version "v1" of "r1" is known here
    And a peer that hears of it knows version "v2" of "r2"

  Scenario: An entry of a third process tells nothing of a stream at the second one
    When attempt "r1" is placed at a target of version "v1"
    And attempt "r2" is placed at that target, where a process answers that started at 2000
    And the target is registered with version "v3" and start 3000
    Then a peer that hears of it knows version "none" of "r2"

  Scenario: An entry that was updated while the stream was sent tells its version at once
    Given the target has been registered with version "v2" and start 2000
    When attempt "r1" is placed at a target of version "v1"
    And attempt "r2" is placed at that target, where a process answers that started at 2000
    Then version "v1" of "r1" is known here
    And a peer that hears of it knows version "v2" of "r2"

  Scenario Outline: What a peer has told is in doubt when <event>
    Given peers "a" and "b" have been heard for long
    And peer "a" tells version "v1" of "r1"
    And peer "b" tells version "v1" of "r2"
    And 10 ms pass for the streams
    When <event>
    Then version "v1" of "r1" is <doubt> here
    And version "v1" of "r2" is not in doubt here

    Examples:
      | event                                             | doubt        |
      | 4 reports of peer "a" are missed                  | in doubt     |
      | 3 reports of peer "a" are missed                  | not in doubt |
      | peer "a" is lost, and then heard again            | in doubt     |
      | peer "a" is not heard for 1100 ms                 | in doubt     |
      | peer "a" is not heard for 900 ms                  | not in doubt |

  Scenario: What is heard first after a standstill was sent at its beginning
    Given peers "a" and "b" have been heard for long
    And 2500 ms pass for the streams
    When peer "a" tells version "v1" of "r1"
    Then version "v1" of "r1" is in doubt here
    When 600 ms pass for the streams
    And peer "a" tells version "v1" of "r1"
    Then version "v1" of "r1" is not in doubt here

  Scenario Outline: A peer that tells version <version> after its reports were missed is believed
    Given peers "a" and "b" have been heard for long
    And peer "a" tells version "v1" of "r1"
    And 10 ms pass for the streams
    And 9 reports of peer "a" are missed
    When peer "a" tells version "<version>" of "r1"
    Then version "<version>" of "r1" is not in doubt here

    Examples:
      | version |
      | v1      |
      | v2      |

  Scenario: Placements are told for a second and known for an hour, since callers may come with a new deadline
    When attempt "r1" is placed at a target of version "v1"
    And 900 ms pass for the streams
    Then full reports tell 1 stream, load updates 0
    When 600 ms pass for the streams
    Then full reports tell 0 streams, load updates 0
    And version "v1" of "r1" is known here
    When 3598000 ms pass for the streams
    Then version "v1" of "r1" is known here
    When 2000 ms pass for the streams
    Then nothing of "r1" is known here

  Scenario: A report of many placements stays small
    When 5000 attempts are placed at once
    Then the load update has at most 1400 bytes
    And full reports tell 64 streams, load updates 64
