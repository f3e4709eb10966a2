@entryBench
Feature: Requests that run at most once

  Background:
    Given the entry bench with 2 entries and 1 plain service target

  Scenario: A resend through another instance gets the recorded answer
    When a booking is sent to entry 0
    Then the booking is answered 201
    When the booking is sent again to entry 1
    Then the booking gets the first answer again
    And the booking ran once

  Scenario: The answer was lost after the run
    Given the booking service drops the answer of the next run
    When a booking is sent to entry 0
    Then the booking is refused 502 with targetFailed and outcome unknown
    When the booking is sent again to entry 1
    Then the booking is refused 409 with onceUnknown and outcome unknown
    And the booking ran once

  Scenario: A booking that surely did not run may run later
    Given the booking service is not reachable
    When a booking is sent to entry 0
    Then the booking is refused 503 with noTarget and outcome not_run
    Given the booking service is reachable again
    When the booking is sent again to entry 1
    Then the booking is answered 201
    And the booking ran once

  Scenario: No booking is sent to a target while the platform is down
    Given the platform of the bookings is down
    When a booking is sent to entry 0
    Then the booking is refused 503 with platformDown and outcome not_run
    And the booking never ran

  Scenario: The platform lost one answer after it took the intent in
    Given the platform of the bookings loses 1 answer
    When a booking is sent to entry 0
    Then the booking is answered 201
    And the booking ran once

  Scenario: The intent may or may not have been taken in
    Given the platform of the bookings holds intents of entry 0 after they take effect
    When a booking is sent to entry 0
    Then the booking is refused 503 with platformDown and outcome not_run
    And the booking never ran
    When the booking is sent again to entry 1
    Then the booking is answered 201
    When the platform of the bookings drops the held answers
    And the booking is sent again to entry 0
    Then the booking gets the first answer again
    And the booking ran once

  Scenario: An intent that the platform takes in late stops nothing and runs nothing
    Given the platform of the bookings holds intents of entry 0 before they take effect
    When a booking is sent to entry 0
    Then the booking is refused 503 with platformDown and outcome not_run
    When the booking is sent again to entry 1
    Then the booking is answered 201
    When the platform of the bookings takes the held intent in
    And the booking is sent again to entry 0
    Then the booking gets the first answer again
    And the booking ran once

  Scenario: The instance is lost while the booking runs
    Given the booking service holds calls after they ran
    When a booking is sent to entry 0 and runs
    And entry 0 of the bookings is lost
    And the booking is sent again to entry 1
    Then the booking is refused 409 with onceUnknown and outcome unknown
    And the booking ran once

  Scenario: A resend comes while the booking runs
    Given the booking service holds calls after they ran
    When a booking is sent to entry 0 and runs
    And the booking is sent again to entry 1
    Then the booking is refused 409 with onceInProgress and outcome unknown
    And the booking's refusal says when to come back
    When the booking service lets calls go on
    And the booking is sent again to entry 1 until it is answered
    Then the booking is answered 201
    And the booking ran once

  Scenario: The caller goes away while the booking runs
    Given the booking service holds calls after they ran
    When a booking is sent to entry 0 and runs
    And the caller of the booking goes away
    And the booking service lets calls go on
    And the booking is sent again to entry 1 until it is answered
    Then the booking is answered 201
    And the booking ran once

  Scenario: Two sends arrive at two instances at the same moment
    When a booking is sent to both entries at once
    Then the booking ran once

  Scenario: Other content under the same key
    When a booking is sent to entry 0
    And another booking under the same key is sent to entry 1
    Then the booking is refused 422 with onceKeyReused and outcome not_run
    And the booking ran once

  Scenario: A key alone costs no platform write
    When a booking with a key but without the mark is sent to entry 0
    Then the booking is answered 201
    And the bookings left no intent in the platform

  Scenario Outline: A call that may have run is <again> with method <method>
    Given the booking service drops the answer of the next run
    When an unmarked <method> call is sent to entry 0
    Then the call is answered <status> after <runs> runs

    Examples:
      | method | again          | status | runs |
      | POST   | not sent again | 502    | 1    |
      | PUT    | sent again     | 200    | 2    |
