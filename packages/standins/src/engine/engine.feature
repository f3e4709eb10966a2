Feature: Engine stand-in

  Scenario: An answer is complete, with and without streaming
    Given an engine stand-in with 2 slots
    When the engine stand-in gets the prompt "routes" for 6 tokens
    Then stream 1 of the engine stand-in is complete
    And the engine stand-in returns the complete answer to "routes" in one body

  Scenario: Requests that exceed the slots are queued in order of arrival
    Given an engine stand-in with 1 slots
    When the engine stand-in gets the prompt "first" for 4 tokens
    And the engine stand-in gets the prompt "second" for 4 tokens
    And the engine stand-in gets the prompt "third" for 4 tokens
    Then the engine stand-in has 1 running and 2 waiting
    When the engine stand-in completes all streams
    Then the engine stand-in ran "first, second, third"

  Scenario: A step takes longer with more running streams
    Given an engine stand-in with 2 slots
    When the engine stand-in gets the prompt "a" for 100 tokens
    And the engine stand-in gets the prompt "b" for 100 tokens
    And 1050 ms pass for the engine stand-in
    Then the engine stand-in generated 49 tokens for "a"

  Scenario: A cancelled stream resumes where it stopped
    Given an engine stand-in with 1 slots
    When the engine stand-in gets the prompt "permits" for 10 tokens
    And 125 ms pass for the engine stand-in
    And stream 1 of the engine stand-in is cancelled
    Then the engine stand-in has 0 running and 0 waiting
    When stream 1 of the engine stand-in is resumed
    Then streams 1 and 2 of the engine stand-in form one complete answer

  Scenario: A stream can only be resumed with the start of its answer
    Given an engine stand-in with 1 slots
    Then the engine stand-in refuses to resume after the wrong text

  Scenario: A stream without readers is cancelled after the grace period
    Given an engine stand-in with 1 slots
    When the engine stand-in gets the prompt "left alone" for 1000 tokens
    And the reader of stream 1 of the engine stand-in disconnects
    And 2100 ms pass for the engine stand-in
    Then the engine stand-in ran "left alone" to the outcome "cancelled"

  Scenario: A marked prompt crashes the engine, which can be restarted
    Given an engine stand-in with 2 slots
    And the engine stand-in crashes on "!!"
    When the engine stand-in gets the prompt "bystander" for 100 tokens
    And the engine stand-in gets the prompt "bad !!" for 100 tokens
    And 100 ms pass for the engine stand-in
    Then the engine stand-in ran "bystander" to the outcome "crashed"
    And the connection of stream 1 of the engine stand-in is closed
    When the engine stand-in is restarted
    Then the engine stand-in returns the complete answer to "routes" in one body

  Scenario: Connections are closed after a number of tokens
    Given an engine stand-in with 1 slots
    And the engine stand-in closes connections after 3 tokens
    When the engine stand-in gets the prompt "routes" for 6 tokens
    Then the connection of stream 1 of the engine stand-in is closed

  Scenario: Open connections become silent while new ones work
    Given an engine stand-in with 2 slots
    When the engine stand-in gets the prompt "routes" for 6 tokens
    And the open connections of the engine stand-in become silent
    And 1000 ms pass for the engine stand-in
    Then stream 1 of the engine stand-in has sent nothing
    And the engine stand-in returns the complete answer to "routes" in one body

  Scenario: An engine falls silent after a number of tokens and goes on
    Given an engine stand-in with 1 slots
    And the engine stand-in falls silent for 1000 ms after 3 tokens
    When the engine stand-in gets the prompt "routes" for 6 tokens
    And 900 ms pass for the engine stand-in
    Then the engine stand-in generated 3 tokens for "routes"
    And stream 1 of the engine stand-in is complete

  Scenario Outline: Requests are refused before anything runs
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

  Scenario Outline: Orders with an outdated fencing token
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

  Scenario: The load report is delayed
    Given an engine stand-in with 1 slots
    When the engine stand-in gets the prompt "routes" for 100 tokens
    Then the engine stand-in reports 0 running
    When 200 ms pass for the engine stand-in
    Then the engine stand-in reports 1 running

  Scenario: Cache events are delayed and have gaps, and the cache is bounded
    Given an engine stand-in with 1 slots
    When the engine stand-in gets 6 long prompts
    Then the engine stand-in has published no cache event
    When 500 ms pass for the engine stand-in
    Then the engine stand-in has published cache events with a gap and an eviction
