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

  Scenario Outline: An answer framed by <framing> that breaks off by a <by> is not stored as complete
    Given the booking service frames answers by <framing> and breaks off the next one by a <by>
    When a booking is sent to entry 0
    Then the booking is refused 502 with targetFailed and outcome unknown
    When the booking is sent again to entry 1
    Then the booking is refused 409 with onceUnknown and outcome unknown
    And the booking ran once

    Examples:
      | framing    | by    |
      | length     | close |
      | length     | reset |
      | chunks     | close |
      | chunks     | reset |
      | connection | reset |

  Scenario: An answer that ends with its connection is stored after an orderly close
    Given the booking service frames answers by connection
    When a booking is sent to entry 0
    Then the booking is answered 201
    When the booking is sent again to entry 1
    Then the booking gets the first answer again
    And the booking ran once

  Scenario: A booking that is known not to have run may run later
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

  Scenario: The platform loses one answer after storing the intent
    Given the platform of the bookings loses 1 answer
    When a booking is sent to entry 0
    Then the booking is answered 201
    And the booking ran once

  Scenario: The intent may or may not have been stored
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

  Scenario: An intent that the platform stores late neither blocks nor starts a run
    Given the platform of the bookings holds intents of entry 0 before they take effect
    When a booking is sent to entry 0
    Then the booking is refused 503 with platformDown and outcome not_run
    When the booking is sent again to entry 1
    Then the booking is answered 201
    When the platform of the bookings applies the held intent
    And the booking is sent again to entry 0
    Then the booking gets the first answer again
    And the booking ran once

  Scenario: The instance is lost while the booking runs
    Given the booking service holds answers after the run
    When a booking is sent to entry 0 and runs
    And entry 0 of the bookings is lost
    And the booking is sent again to entry 1
    Then the booking is refused 409 with onceUnknown and outcome unknown
    And the booking ran once

  Scenario: A resend arrives while the booking runs
    Given the booking service holds answers after the run
    When a booking is sent to entry 0 and runs
    And the booking is sent again to entry 1
    Then the booking is refused 409 with onceInProgress and outcome unknown
    And the booking's refusal has a retry time
    When the booking service releases held answers
    And the booking is sent again to entry 1 until it is answered
    Then the booking is answered 201
    And the booking ran once

  Scenario: The caller disconnects while the booking runs
    Given the booking service holds answers after the run
    When a booking is sent to entry 0 and runs
    And the caller of the booking disconnects
    And the booking service releases held answers
    And the booking is sent again to entry 1 until it is answered
    Then the booking is answered 201
    And the booking ran once

  Scenario: Two sends arrive at two instances at the same time
    When a booking is sent to both entries at once
    Then the booking ran once

  Scenario: Other content under the same key
    When a booking is sent to entry 0
    And another booking under the same key is sent to entry 1
    Then the booking is refused 422 with onceKeyReused and outcome not_run
    And the booking ran once

  Scenario: A key without the at-most-once header causes no platform write
    When a booking with a key but without the at-most-once header is sent to entry 0
    Then the booking is answered 201
    And no intent of the bookings is stored in the platform

  Scenario Outline: A call that may have run is <again> with method <method>
    Given the booking service drops the answer of the next run
    When a <method> call without the at-most-once header is sent to entry 0
    Then the call is answered <status> after <runs> runs

    Examples:
      | method | again          | status | runs |
      | POST   | not sent again | 502    | 1    |
      | PUT    | sent again     | 200    | 2    |
