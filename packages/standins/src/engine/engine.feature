Feature: Engine stand-in

  Scenario: An answer is whole, streamed or not
    Given an engine stand-in with 2 slots
    When the engine stand-in is asked "routes" for 6 tokens
    Then stream 1 of the engine stand-in ends whole
    And the engine stand-in answers "routes" in one body

  Scenario: Requests beyond the slots wait in order of arrival
    Given an engine stand-in with 1 slots
    When the engine stand-in is asked "first" for 4 tokens
    And the engine stand-in is asked "second" for 4 tokens
    And the engine stand-in is asked "third" for 4 tokens
    Then the engine stand-in has 1 running and 2 waiting
    When the engine stand-in runs to the end
    Then the engine stand-in ran "first, second, third"

  Scenario: A step takes longer when more streams run
    Given an engine stand-in with 2 slots
    When the engine stand-in is asked "a" for 100 tokens
    And the engine stand-in is asked "b" for 100 tokens
    And 1050 ms pass for the engine stand-in
    Then the engine stand-in made 49 tokens of "a"

  Scenario: A cancelled stream goes on where it stopped
    Given an engine stand-in with 1 slots
    When the engine stand-in is asked "permits" for 10 tokens
    And 125 ms pass for the engine stand-in
    And stream 1 of the engine stand-in is cancelled
    Then the engine stand-in has 0 running and 0 waiting
    When stream 1 of the engine stand-in is resumed
    Then streams 1 and 2 of the engine stand-in make one whole answer

  Scenario: Text that is not the start of the answer can't be resumed
    Given an engine stand-in with 1 slots
    Then the engine stand-in refuses to go on after the wrong text

  Scenario: A stream that nobody reads ends after the grace time
    Given an engine stand-in with 1 slots
    When the engine stand-in is asked "left alone" for 1000 tokens
    And the reader of stream 1 of the engine stand-in goes away
    And 2100 ms pass for the engine stand-in
    Then the engine stand-in ran "left alone" to the outcome "cancelled"

  Scenario: A marked prompt ends the engine, which can start again
    Given an engine stand-in with 2 slots
    And the engine stand-in crashes on "!!"
    When the engine stand-in is asked "bystander" for 100 tokens
    And the engine stand-in is asked "bad !!" for 100 tokens
    And 100 ms pass for the engine stand-in
    Then the engine stand-in ran "bystander" to the outcome "crashed"
    And stream 1 of the engine stand-in is cut
    When the engine stand-in starts again
    Then the engine stand-in answers "routes" in one body

  Scenario: Streams are cut after some tokens
    Given an engine stand-in with 1 slots
    And the engine stand-in cuts streams after 3 tokens
    When the engine stand-in is asked "routes" for 6 tokens
    Then stream 1 of the engine stand-in is cut

  Scenario: Open connections go silent and new ones work
    Given an engine stand-in with 2 slots
    When the engine stand-in is asked "routes" for 6 tokens
    And the open connections of the engine stand-in go silent
    And 1000 ms pass for the engine stand-in
    Then stream 1 of the engine stand-in has sent nothing
    And the engine stand-in answers "routes" in one body

  Scenario Outline: Refusals before anything ran
    Given an engine stand-in with 1 slots
    And the engine stand-in is "<state>"
    Then the engine stand-in refuses "<model>" with <status> "<code>"
    And the engine stand-in ran ""

    Examples:
      | state   | model   | status | code             |
      | live    | other   | 404    | model_not_loaded |
      | busy    | desk-lm | 429    | busy             |
      | leaving | desk-lm | 503    | leaving          |
      | failing | desk-lm | 500    | failed           |

  Scenario Outline: Orders with an old fencing number
    Given an engine stand-in that checks fencing: "<checks>"
    When the engine stand-in gets an order "o1" to load "fresh" with fencing 5
    And the engine stand-in gets an order "o2" to load "stale" with fencing 4
    And the engine stand-in gets an order "o1" to load "fresh" with fencing 5
    Then the engine stand-in has the models "<models>"
    And the engine stand-in applied "<applied>"

    Examples:
      | checks | models                  | applied           |
      | yes    | desk-lm, fresh          | true, false, false |
      | no     | desk-lm, fresh, stale   | true, true, false  |

  Scenario: The load report lags
    Given an engine stand-in with 1 slots
    When the engine stand-in is asked "routes" for 100 tokens
    Then the engine stand-in reports 0 running
    When 200 ms pass for the engine stand-in
    Then the engine stand-in reports 1 running

  Scenario: Cache events come late and with gaps, and the cache is limited
    Given an engine stand-in with 1 slots
    When the engine stand-in is asked for 6 long prompts
    Then the engine stand-in has published no cache event
    When 500 ms pass for the engine stand-in
    Then the engine stand-in has published cache events with a gap and an eviction
