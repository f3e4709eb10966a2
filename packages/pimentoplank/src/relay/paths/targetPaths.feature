Feature: Paths to targets
  An instance with 4 targets "t0" to "t3" of failure domain "a", and peers.

  Background:
    Given an instance of failure domain "a" with targets "t0" to "t3"
    And a peer "p1" of failure domain "a"
    And a peer "p2" of failure domain "b"
    And targets "t0" to "t3" answer peer "p2"

  Scenario: Connections are direct while nothing is known
    Then the path to "t0" is direct
    And idle connections to "t0" are used

  Scenario: Connections go through a peer that the target answers, once the path is lost
    When connections to "t0" to "t3" fail
    And 100 ms pass for the paths
    Then the instance is cut off
    And the path to "t0" is through "p2"
    And idle connections to "t0" are not used

  Scenario: A peer of the own failure domain comes first among those that the target answers
    Given targets "t0" to "t3" answer peer "p1"
    When connections to "t0" to "t3" fail
    And 100 ms pass for the paths
    Then the path to "t0" is through "p1"

  Scenario: A peer that failed is not used for a second
    When connections to "t0" to "t3" fail
    And 100 ms pass for the paths
    And peer "p2" can't be reached
    Then the path to "t0" is through "p1"
    When peer "p1" doesn't reach "t0"
    Then the path to "t0" is direct
    And the path to "t1" is through "p1"
    When targets "t0" to "t3" answer peer "p2"
    And 1050 ms pass for the paths
    And targets "t0" to "t3" answer peer "p2"
    Then the path to "t0" is through "p2"

  Scenario: Peers that are cut off or leave are not used
    Given targets "t0" to "t3" answer peer "p1"
    When connections to "t0" to "t3" fail
    And 100 ms pass for the paths
    And peer "p1" is cut off
    And peer "p2" leaves
    Then the path to "t0" is direct

  Scenario: Idle connections are used where open ones live on
    When connections to "t0" to "t3" fail
    And 100 ms pass for the paths
    And bytes of "t1" arrive
    Then idle connections to "t1" are used
    And idle connections to "t0" are not used
    When 600 ms pass for the paths
    Then idle connections to "t1" are not used

  Scenario: One target that is not reached is no cut when others are
    Given targets "t1" to "t3" can be reached
    When connections to "t0" to "t0" fail
    And 400 ms pass for the paths
    Then the instance is not cut off
    And at most 3 targets were probed

  Scenario: Two targets that are not reached are no cut when others are
    Given targets "t2" to "t3" can be reached
    When connections to "t0" to "t1" fail
    And 400 ms pass for the paths
    Then the instance is not cut off

  Scenario: Targets that are slow and accept connections are no cut
    Given targets "t0" to "t3" can be reached
    When targets "t0" to "t3" are silent
    And 400 ms pass for the paths
    Then the instance is not cut off

  Scenario: Targets that are silent and accept no connections are a cut
    When targets "t0" to "t3" are silent
    And 400 ms pass for the paths
    Then the instance is cut off

  Scenario: Targets that are silent on connections which a proxy accepts are a cut
    Given connections to "t0" to "t3" are accepted but bring nothing
    When targets "t0" to "t3" are silent
    And 400 ms pass for the paths
    Then the instance is cut off
    When targets "t0" to "t3" answer peer "p2"
    And 900 ms pass for the paths
    And targets "t0" to "t3" answer peer "p2"
    And 900 ms pass for the paths
    Then the instance is cut off
    When targets "t0" to "t3" answer peer "p2"
    And targets "t0" to "t3" can be reached
    And 320 ms pass for the paths
    Then the instance is not cut off

  Scenario: Targets that no peer is answered by are down
    Given no target answers a peer any more
    When connections to "t0" to "t3" fail
    And 1000 ms pass for the paths
    Then the instance is not cut off
    And the path to "t0" is direct

  Scenario: Targets that are back have been down, rather than the path
    Given no target answers a peer any more
    When connections to "t0" to "t3" fail
    And 300 ms pass for the paths
    And targets "t0" to "t3" answer peer "p2"
    And targets "t0" to "t3" can be reached
    And 600 ms pass for the paths
    And targets "t0" to "t3" answer peer "p2"
    And 400 ms pass for the paths
    Then the instance is not cut off

  Scenario: Targets that are back for peers only are a cut
    Given no target answers a peer any more
    When connections to "t0" to "t3" fail
    And 300 ms pass for the paths
    And targets "t0" to "t3" answer peer "p2"
    And 600 ms pass for the paths
    And targets "t0" to "t3" answer peer "p2"
    And 400 ms pass for the paths
    Then the instance is cut off

  Scenario: The path is back as soon as a test connection shows it, with nothing of the cut left
    When connections to "t0" to "t3" fail
    And 100 ms pass for the paths
    And targets "t0" to "t3" can be reached
    And 320 ms pass for the paths
    Then the instance is not cut off
    And the path to "t0" is direct
    And the path was lost and came back, as the log says
    When connections to "t0" to "t0" fail
    And 300 ms pass for the paths
    Then the instance is not cut off

  Scenario: A target that is reached amid a cut is connected to directly
    Given targets "t3" to "t3" can be reached
    When connections to "t0" to "t2" fail
    And 100 ms pass for the paths
    And a connection to "t3" is established
    Then the instance is cut off
    And the path to "t3" is direct
    And the path to "t0" is through "p2"

  Scenario: Where peers use no targets, one that is asked tells that the path is lost
    Given no target answers a peer any more
    And peers that are asked connect to targets
    When connections to "t0" to "t3" fail
    And 1000 ms pass for the paths
    Then the instance is cut off
    And 5000 ms pass for the paths
    And the instance is cut off
