@entryBench
Feature: Streams go on only at the software version that began them

  Scenario: A stream whose target died goes on at the other target of its version
    Given the entry bench with engines of the software versions "1, 2, 1"
    When the entry gets a streamed chat request for 40 tokens
    And engine 0 of the entry dies after 5 tokens
    Then the entry streams the complete text of 40 tokens, each once, with the closing event
    And no engine of software version 2 continued the entry's stream

  Scenario: A stream whose version no target is left of is refused at once
    Given the entry bench with engines of the software versions "1, 2"
    When the entry gets a streamed chat request for 40 tokens
    And engine 0 of the entry dies after 5 tokens
    Then the entry's stream ends with an error event and without the closing event
    And no engine of software version 2 continued the entry's stream

  Scenario: A stream is not resumed at its target when that is back at another version
    Given the entry bench with engines of the software versions "1, 2"
    When the entry gets a streamed chat request for 40 tokens
    And engine 0 of the entry restarts at software version 2 after 5 tokens
    Then the entry's stream ends with an error event and without the closing event
    And no engine of software version 2 continued the entry's stream

  Scenario: A stream is not resumed at its target when that is back at another version than it is listed with
    Given the entry bench with engines of the software versions "1, 2"
    When the entry gets a streamed chat request for 40 tokens
    And engine 0 of the entry restarts at software version 2 after 5 tokens, and the list lags
    Then the entry's stream ends with an error event and without the closing event

  Scenario: A stream whose target is back at another version goes on at the other target of its version
    Given the entry bench with engines of the software versions "1, 1"
    When the entry gets a streamed chat request for 40 tokens
    And engine 0 of the entry restarts at software version 2 after 5 tokens, and the list lags
    Then the entry streams the complete text of 40 tokens, each once, with the closing event
    And engine 1 continued the entry's stream

  Scenario: A stream that has delivered nothing may begin at any version
    Given the entry bench with engines of the software versions "1, 2"
    And the entry bench makes engine 0 refuse connections
    When the entry gets a streamed chat request for 12 tokens
    Then the entry streams the complete text of 12 tokens, each once, with the closing event
