Feature: Views of a target's process
  A connection that is refused tells of the process only where the path works: directly or through a peer.

  Background:
    Given targets "t1" to "t4", each called directly and through peers "p1" and "p2"

  Scenario: A target that answers is called once
    When the process of "t1" is viewed
    Then a process is seen
    And 1 call was made

  Scenario: A target that resets the calls of this instance is seen through a peer
    Given calls of this instance to "t1" are reset
    When the process of "t1" is viewed
    Then a process is seen

  Scenario: A target on which nothing listens
    Given nothing listens at "t1"
    When the process of "t1" is viewed
    Then nothing is seen, over a path that works

  Scenario: Nothing can be connected to over a lost path, and no peer can be asked
    Given calls of this instance to "t1" to "t4" are refused
    And peers can't be reached
    When the process of "t1" is viewed
    Then nothing is seen, over no path that works

  Scenario: A lost path to one target only doesn't hide its process
    Given calls of this instance to "t1" are refused
    When the process of "t1" is viewed
    Then a process is seen

  Scenario: A peer that reaches no target says nothing
    Given calls of this instance to "t1" are reset
    And calls through peers are refused by each target
    When the process of "t1" is viewed
    Then nothing is seen, over no path that works

  Scenario: A peer that knows that it is cut off is not asked
    Given calls of this instance to "t1" are reset
    And the peers are cut off
    When the process of "t1" is viewed
    Then 1 call was made
