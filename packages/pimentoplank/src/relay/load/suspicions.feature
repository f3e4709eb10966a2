Feature: Suspicions of targets and of the path to them
  An instance with a target "t0" hears two peers, "p1" and "p2".

  Background:
    Given an instance that hears peers "p1" and "p2", and a target "t0"

  Scenario: What a peer doesn't reach is not taken over while the target answers here
    When bytes of the target arrive here
    And peer "p1" reports that it doesn't reach the target
    And 50 ms pass for the suspicions
    And bytes of the target arrive here
    Then the target is trusted

  Scenario: What a peer doesn't reach is not taken over while the target answers another peer
    When the target answers peer "p2"
    And peer "p1" reports that it doesn't reach the target
    And 300 ms pass for the suspicions
    And the target answers peer "p2"
    And 300 ms pass for the suspicions
    And the target answers peer "p2"
    Then the target is trusted

  Scenario: A target that is down is suspected where a peer has noticed
    When the target answers peer "p2"
    And 100 ms pass for the suspicions
    And peer "p1" reports that it doesn't reach the target
    Then the target is suspected
    When 300 ms pass for the suspicions
    And the target answers peer "p2" no more
    And 300 ms pass for the suspicions
    Then the target is suspected

  Scenario: A target that fails requests is suspected though it answers
    When peer "p1" reports that the target fails
    And 100 ms pass for the suspicions
    And bytes of the target arrive here
    Then the target is suspected

  Scenario: A peer of an older version tells no path from a target
    When peer "p1" reports suspicions like an older version
    And 100 ms pass for the suspicions
    And bytes of the target arrive here
    Then the target is suspected

  Scenario: The suspicions of a peer that is cut off are ignored
    When peer "p1" reports that the target fails
    Then the target is suspected
    When peer "p1" reports that it is cut off
    Then the target is trusted
    When peer "p1" reports that the target fails
    Then the target is trusted
    When peer "p1" reports that it is no longer cut off
    Then the target is trusted

  Scenario: A target that can't be connected to here, and answers peers, is suspected for a moment and without a history
    When the target answers peer "p1"
    And it can't be connected to here
    Then the target is suspected
    And it is reported as suspect and as not reached
    When 300 ms pass for the suspicions
    And the target answers peer "p1"
    And 300 ms pass for the suspicions
    And the target answers peer "p1"
    Then the target is trusted
    And it is not reported as suspect
    When it can't be connected to here
    And 510 ms pass for the suspicions
    Then the target is trusted

  Scenario: A target that takes no more connections is left out here for a moment, again and again, and not reported
    When it can't be connected to here
    And 10 ms pass for the suspicions
    And bytes of the target arrive here
    Then the target is suspected
    And it is not reported as suspect
    When 490 ms pass for the suspicions
    Then the target is trusted
    When it can't be connected to here
    And 10 ms pass for the suspicions
    And bytes of the target arrive here
    And 490 ms pass for the suspicions
    Then the target is trusted

  Scenario: A target that was down and is back is trusted, with a history
    When it can't be connected to here
    And 400 ms pass for the suspicions
    And the target answers peer "p1"
    And 300 ms pass for the suspicions
    And the target answers peer "p1"
    Then the target is trusted
    When it can't be connected to here
    And 510 ms pass for the suspicions
    And the target answers peer "p1" no more
    Then the target is suspected

  Scenario: A target that broke a connection stays suspected, whoever it answers
    When the target answers peer "p1"
    And it breaks a connection here
    And 300 ms pass for the suspicions
    And the target answers peer "p1"
    And 190 ms pass for the suspicions
    And the target answers peer "p1"
    And bytes of the target arrive here
    Then the target is suspected

  Scenario Outline: Nothing that the path may be at fault for is held against targets in a cut: <fault>
    When <fault>
    And the path to targets is lost
    Then the target is trusted
    And it is not reported as suspect
    When <fault>
    Then the target is trusted
    When the path to targets is back
    Then the target is trusted
    And it is not reported as suspect

    Examples:
      | fault                         |
      | it can't be connected to here |
      | it is silent here             |
      | it breaks a connection here   |

  Scenario: A target that fails requests is suspected in a cut, too, but not reported
    When it fails a request here
    And the path to targets is lost
    Then the target is suspected
    And it is not reported as suspect
    When the path to targets is back
    Then it is reported as suspect

  Scenario Outline: A target that <fault> here: test connections are <here>, peers reach it <peers>
    Given test connections of this instance are <here>
    And peers reach the target <peers>
    When it <fault> here
    And 10 ms pass for the suspicions
    Then the target is suspected
    And it is <told>

    Examples:
      | fault                 | here     | peers   | told                    |
      | can't be connected to | failed   | as well | not reported as suspect |
      | is silent             | silent   | as well | not reported as suspect |
      | is silent             | answered | as well | reported as suspect     |
      | can't be connected to | failed   | no more | reported as suspect     |
      | is silent             | silent   | no more | reported as suspect     |

  Scenario: Peers are told of a target that dies after its path was lost
    Given peers reach the target as well
    When it can't be connected to here
    And 10 ms pass for the suspicions
    Then it is not reported as suspect
    When peers reach the target no more
    And 600 ms pass for the suspicions
    And it can't be connected to here
    And 10 ms pass for the suspicions
    Then it is reported as suspect and as not reached
