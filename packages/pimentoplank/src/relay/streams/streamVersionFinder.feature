Feature: Finding the version of a stream that a caller takes up

  Scenario: In a large fleet, two peers of each failure domain are asked
    Given 4 peers in each of 3 failure domains, of which those in "b" know version "v1" of "r1"
    When a caller takes up stream "r1"
    Then it is bound to version "v1"
    And 2 peers of each failure domain were asked

  Scenario: Peers that don't answer hold up neither the answer of another nor a refusal
    Given 4 peers in each of 3 failure domains, of which those in "b" know version "v1" of "r1"
    And the peers in "a" and "c" don't answer
    When a caller takes up stream "r1"
    Then it is bound to version "v1"
    When a caller takes up stream "r2"
    Then it is refused as "streamVersionUnknown"

  Scenario: A busy peer that takes a while to answer still tells the version
    Given 2 peers in each of 2 failure domains, of which those in "b" know version "v1" of "r1"
    And the peers take 350 ms to answer
    When a caller takes up stream "r1"
    Then it is bound to version "v1"

  Scenario: A version that became known after the stream was heard of is asked for
    Given 1 peer in each of 1 failure domain, of which those in "a" know version "v1" of "r1"
    And stream "r1" was heard of without a version
    When a caller takes up stream "r1"
    Then it is bound to version "v1"

  Scenario: Peers that have only heard of a stream don't speak for the one that knows its version
    Given 1 peer in each of 2 failure domains, of which those in "b" know version "v1" of "r1"
    And the peers in "a" know every stream, but no version
    And the peers take 100 ms to answer
    When a caller takes up stream "r1"
    Then it is bound to version "v1"

  Scenario: Nobody is asked for a stream that was heard of with its version
    Given 1 peer in each of 2 failure domains, of which those in "b" know version "v2" of "r2"
    And stream "r1" was heard of with version "v1"
    When a caller takes up stream "r1"
    Then it is bound to version "v1"
    And no peer was asked

  Scenario Outline: A stream that a peer of an older version has placed <case>
    Given 1 peer in each of 2 failure domains, of which those in "b" know version "v2" of "r1"
    And all peers run an older version
    And the peers in "a" know version "v1" of every stream
    And instance "<placer>" in its life <life> has told that it placed "r1" at version "v1"
    When a caller takes up stream "r1"
    Then <outcome>

    Examples:
      | case                                                     | placer | life | outcome                                 |
      | is bound to the version that this peer knows now         | b0     | 1    | it is bound to version "v2"             |
      | is refused once that peer is gone                        | b7     | 1    | it is refused as "streamVersionUnknown" |
      | is refused once another process runs under that peer's id | b0     | 0    | it is refused as "streamVersionUnknown" |

  Scenario: Where peers of an older version have heard that a stream was placed tells nothing of where it began
    Given 1 peer in each of 2 failure domains, of which those in "b" know version "v2" of "r1"
    And all peers run an older version
    When a caller takes up stream "r1"
    Then it is refused as "streamVersionUnknown"

  Scenario: A stream that was heard of without a version is not bound to the only one that serves
    Given 1 peer in each of 1 failure domain, of which those in "b" know version "v1" of "r1"
    And stream "r2" was heard of without a version
    And only version "v2" has served for long
    When a caller takes up stream "r2"
    Then it is refused as "streamVersionUnknown"

  Scenario: A stream whose version is in doubt is refused, although only one version serves now
    Given 1 peer in each of 1 failure domain, of which those in "a" know version "" of "r1"
    And only version "v2" has served for long
    When a caller takes up stream "r1"
    Then it is refused as "streamVersionUnknown"

  Scenario: A stream of which nobody knows is refused while the entry of a target is out of date
    Given 1 peer in each of 1 failure domain, of which those in "b" know version "v1" of "r1"
    And only version "v2" has served for long, but the entry of a target is out of date
    When a caller takes up stream "r2"
    Then it is refused as "streamVersionUnknown"

  Scenario: A stream of which nobody knows is bound to the only version that has served for long
    Given 1 peer in each of 1 failure domain, of which those in "b" know version "v1" of "r1"
    And only version "v2" has served for long
    When a caller takes up stream "r2"
    Then it is bound to version "v2"

  Scenario Outline: A stream of which nobody knows is refused while the platform <what>
    Given 1 peer in each of 1 failure domain, of which those in "b" know version "v1" of "r1"
    And only version "v2" has served for long
    And the platform <what>
    When a caller takes up stream "r2"
    Then it is refused as "streamVersionUnknown"

    Examples:
      | what                                   |
      | has versions v1 and v2                 |
      | does not tell its versions             |
      | does not answer                        |
      | is read as the history gets version v1 |

  Scenario Outline: A stream of which nobody knows, on a route that is split with a service of version <version>
    Given 1 peer in each of 1 failure domain, of which those in "b" know version "v1" of "r1"
    And only version "v2" has served for long
    And the route is split with a service of version "<version>"
    When a caller takes up stream "r2"
    Then <outcome>

    Examples:
      | version | outcome                                 |
      | v2      | it is refused as "streamVersionUnknown" |
      | v1      | it is refused as "streamVersionUnknown" |

  Scenario: A stream of which nobody knows is refused while the platform doesn't tell of one of the services of its route
    Given 1 peer in each of 1 failure domain, of which those in "b" know version "v1" of "r1"
    And only version "v2" has served for long
    And the route is split with a service of version "v2" of which the platform doesn't tell
    When a caller takes up stream "r2"
    Then it is refused as "streamVersionUnknown"

  Scenario: A stream of which nobody knows is refused while another process answers than the registered one
    Given 1 peer in each of 1 failure domain, of which those in "b" know version "v1" of "r1"
    And only version "v2" has served for long
    And another process answers than that of an entry of the platform
    When a caller takes up stream "r2"
    Then it is refused as "streamVersionUnknown"

  Scenario: A stream goes on at the service that the instance has heard of, whatever its route names now
    Given 1 peer in each of 1 failure domain, of which those in "b" know version "v1" of "r2"
    And stream "r1" was heard of with version "v1" of service "x"
    And the service of the route has had version "v1", and the one that it is split with version "v1"
    When a caller takes up stream "r1"
    Then it is bound to version "v1" of service "x"
    And no peer was asked

  Scenario: A stream goes on at the service that a peer tells
    Given 1 peer in each of 2 failure domains, of which those in "b" know version "v1" of "r1"
    And the peers in "b" tell that it began at service "o"
    And the service of the route has had version "v1", and the one that it is split with version "v1"
    When a caller takes up stream "r1"
    Then it is bound to version "v1" of service "o"

  # A peer of an older version tells the version only, and may answer first.
  Scenario: A peer that tells the service counts more than one that doesn't
    Given 1 peer in each of 2 failure domains, of which those in "b" know version "v1" of "r1"
    And the peers in "a" know version "v1" of every stream
    And the peers take 100 ms to answer
    And the peers in "b" tell that it began at service "o"
    And the service of the route has had version "v1", and the one that it is split with version "v1"
    When a caller takes up stream "r1"
    Then it is bound to version "v1" of service "o"

  Scenario: A version that was heard of from an older version is completed by a peer that knows the service
    Given 1 peer in each of 1 failure domain, of which those in "a" know version "v1" of "r1"
    And stream "r1" was heard of with version "v1"
    And the peers in "a" tell that it began at service "o"
    And the service of the route has had version "v1", and the one that it is split with version "v1"
    When a caller takes up stream "r1"
    Then it is bound to version "v1" of service "o"

  Scenario Outline: A stream of which only peers of older versions know, on a route with services of <versions>
    Given 1 peer in each of 1 failure domain, of which those in "a" know version "v1" of "r1"
    And the service of the route has had version "<first>", and the one that it is split with version "<second>"
    When a caller takes up stream "r1"
    Then <outcome>

    Examples:
      | versions       | first | second | outcome                                  |
      | two versions   | v1    | v2     | it is bound to version "v1" of service "s" |
      | two versions   | v2    | v1     | it is bound to version "v1" of service "o" |
      | the same names | v1    | v1     | it is refused as "streamVersionUnknown"    |
