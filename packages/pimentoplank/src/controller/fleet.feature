Feature: The controller reconciles the fleet with the configuration

  Scenario: Concurrent loads stay within the limit of the weight store
    Given a fleet of 8 engines
    And a controller that orders at most 2 loads at a time
    When model "desk-8b" at version "1" is released
    Then the controller has model "desk-8b" at version "1" ready on 8 engines
    And the fleet never had more than 2 concurrent loads
    And each engine was ordered to load once

  Scenario: Enough replicas serve throughout a version change
    Given a fleet of 8 engines
    And a controller that orders at most 2 loads at a time
    When model "desk-8b" at version "1" is released
    Then the controller has model "desk-8b" at version "1" ready on 8 engines
    When the serving replicas of "desk-8b" are watched
    And model "desk-8b" is changed to version "2"
    Then the controller has model "desk-8b" at version "2" ready on 8 engines
    And version "1" of "desk-8b" is unloaded from all engines
    And at least 6 placed replicas of "desk-8b" served at all times

  Scenario: A withdrawn model receives no new requests and is unloaded after its last one
    Given a fleet of 2 engines
    And a controller that orders at most 2 loads at a time
    When model "desk-8b" at version "1" is released
    Then the controller has model "desk-8b" at version "1" ready on 2 engines
    When a long request runs on engine "engine-0"
    And model "desk-8b" is withdrawn
    Then the controller unloads "desk-8b" from engine "engine-1"
    And the placement of "desk-8b" names no target
    And engine "engine-0" was not ordered to unload while its request ran
    When the long request ends
    Then the controller unloads "desk-8b" from engine "engine-0"

  Scenario: A second controller that takes over a correct fleet sends no orders
    Given a fleet of 4 engines
    And a controller that orders at most 2 loads at a time
    When model "desk-8b" at version "1" is released
    Then the controller has model "desk-8b" at version "1" ready on 4 engines
    When a second controller runs and the first one stops
    Then the second controller leads
    And each engine was ordered to load once

  Scenario Outline: An order of a paused controller has no lasting effect on engines that <check> fencing numbers
    Given a fleet of 2 engines that <check> fencing numbers
    And a controller that orders at most 2 loads at a time
    When model "desk-8b" at version "1" is released
    Then the controller has model "desk-8b" at version "1" ready on 2 engines
    When the controller is paused just before it orders an unload of the withdrawn "desk-8b"
    And a second controller leads after the first one's lease expired
    And model "desk-8b" at version "1" is released again
    Then the controller has model "desk-8b" at version "1" ready on 2 engines
    When the paused controller resumes
    Then the late order is <outcome>
    And the controller has model "desk-8b" at version "1" ready on 2 engines
    And only the second controller leads

    Examples:
      | check  | outcome |
      | check  | refused |
      | ignore | taken   |

  Scenario: A controller without the lease sends no orders
    Given a fleet of 2 engines
    And a controller that orders at most 2 loads at a time
    When model "desk-8b" at version "1" is released
    Then the controller has model "desk-8b" at version "1" ready on 2 engines
    When the platform of the fleet is down for longer than the lease
    And an engine of the fleet loses its model "desk-8b" at version "1"
    Then the controller orders nothing while the platform is down
    When the platform of the fleet is available again
    Then the controller has model "desk-8b" at version "1" ready on 2 engines

  Scenario: Snapshots replace old release notes, and an instance that starts later reads both
    Given a fleet of 1 engines
    And a controller that orders at most 2 loads at a time
    When 25 release notes are applied one after the other
    Then the release log of the fleet has at most 15 notes and a snapshot
    And an instance that starts now has configuration 25

  Scenario: A target that reports leaving is removed from the placement while the platform still lists it
    Given a fleet of 4 engines
    And a controller that orders at most 2 loads at a time
    When model "desk-8b" at version "1" is released
    Then the controller has model "desk-8b" at version "1" ready on 4 engines
    When engine "engine-2" reports that it is leaving
    Then the placement of "desk-8b" loses "engine-2" within 3 s
    And every follower of the fleet has removed "engine-2"
