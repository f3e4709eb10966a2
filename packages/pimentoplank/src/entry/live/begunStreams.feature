@entryBench
Feature: Streams that have delivered tokens go on

  Scenario: A stream at a target that falls silent for a while is not cut when no other slot is free
    Given the entry bench with 2 engines and settings {"streams":{"tokenGapTimeoutMs":50}}
    And engine 0 of the entry falls silent for 1500 ms after 5 tokens
    And the entry gets one slot, and then refusals as queueFull
    When the entry gets a streamed chat request for 12 tokens
    Then the entry streams the complete text of 12 tokens, each once, with the closing event
    And engine 0 ran the entry's request once
    And the entry holds no slot any more

  Scenario: A stream at the only target goes on after a silence, with no retry left in the budget
    Given the entry bench with 1 engine and settings {"streams":{"tokenGapTimeoutMs":50},"retries":{"budgetRatio":0,"budgetReserve":0}}
    And engine 0 of the entry falls silent for 1500 ms after 5 tokens
    When the entry gets a streamed chat request for 12 tokens
    Then the entry streams the complete text of 12 tokens, each once, with the closing event
    And engine 0 ran the entry's request once

  Scenario: An at-most-once stream goes on after a silence of its target
    Given the entry bench with 2 engines and settings {"streams":{"tokenGapTimeoutMs":50}}
    And engine 0 of the entry falls silent for 1500 ms after 5 tokens
    When the entry gets a streamed chat request for 12 tokens that runs at most once, at instance 0
    Then the entry streams the complete text of 12 tokens, each once, with the closing event
    And the entry's engines ran 1 request

  Scenario: A stream leaves a target that stays silent once a slot elsewhere is held
    Given the entry bench with 2 engines and settings {"streams":{"tokenGapTimeoutMs":50}}
    And the entry gets one slot, and then 3 refusals as queueFull
    When the entry gets a streamed chat request for 40 tokens
    And every connection to engine 0 goes silent after 5 tokens
    Then the entry streams the complete text of 40 tokens, each once, with the closing event
    And the entry holds no slot any more

  Scenario Outline: A stream whose target died waits where a new request is refused as <reason>
    Given the entry bench with 2 engines
    And the entry gets one slot, and then 3 refusals as <reason>
    When the entry gets a streamed chat request for 40 tokens
    And engine 0 of the entry dies after 5 tokens
    Then the entry streams the complete text of 40 tokens, each once, with the closing event

    Examples:
      | reason              |
      | queueFull           |
      | deadlineUnreachable |
      | noTarget            |

  Scenario: A stream goes on elsewhere with no retry left in the budget
    Given the entry bench with 2 engines and settings {"retries":{"budgetRatio":0,"budgetReserve":0}}
    When the entry gets a streamed chat request for 40 tokens
    And engine 0 of the entry dies after 5 tokens
    Then the entry streams the complete text of 40 tokens, each once, with the closing event

  Scenario: A stream waits for the last target of its service while that restarts
    Given the entry bench with 2 engines
    And the entry bench makes engine 1 refuse connections
    When the entry gets a streamed chat request for 40 tokens
    And engine 0 of the entry dies after 5 tokens
    And engine 1 of the entry starts again once the entry has failed to connect to it
    Then the entry streams the complete text of 40 tokens, each once, with the closing event

  Scenario: A stream at a silent target is not cut because its prompt is quarantined meanwhile
    Given the entry bench with 2 engines and settings {"streams":{"tokenGapTimeoutMs":50}}
    And engine 0 of the entry falls silent for 1500 ms after 5 tokens
    When the prompt "shared line", "own question" is streamed, and its first line is quarantined 0 ms after 5 tokens
    Then the stream of that prompt is complete
    And the entry's engines ran 1 request
    And the entry holds no slot any more

  Scenario: A stream at a silent target is not cut because its prompt is quarantined while it waits for a slot
    Given the entry bench with 2 engines and settings {"streams":{"tokenGapTimeoutMs":50}}
    And engine 0 of the entry falls silent for 2500 ms after 5 tokens
    And the entry gets one slot, and then 30 refusals as queueFull
    When the prompt "shared line", "own question" is streamed, and its first line is quarantined 300 ms after 5 tokens
    Then the stream of that prompt is complete
    And the entry's engines ran 1 request
    And the entry holds no slot any more

  Scenario: A stream leaves its silent target once its prompt is quarantined no more
    Given the entry bench with 2 engines and settings {"streams":{"tokenGapTimeoutMs":50}}
    And engine 0 of the entry falls silent for 1500 ms after 5 tokens
    When the prompt "shared line", "own question" is streamed, and its first line is quarantined 0 ms after 5 tokens
    And 1000 ms later, every connection to engine 0 is silent and that line is quarantined no more
    Then the stream of that prompt is complete
    And engine 1 continued the entry's stream
    And the entry holds no slot any more

  Scenario Outline: A stream whose attempts are used goes back to the target it left for its silence, where the other <fault>
    Given the entry bench with 2 engines and settings {"streams":{"tokenGapTimeoutMs":50,"firstTokenTimeoutMs":2000},"retries":{"maxAttempts":2}}
    And engine 0 of the entry falls silent for 1500 ms after 5 tokens
    And engine 1 of the entry <fault> every request
    When the entry gets a streamed chat request for 9 tokens
    Then the entry streams the complete text of 9 tokens, each once, with the closing event
    And engine 0 continued the entry's stream
    And the entry holds no slot any more

    Examples:
      | fault        |
      | fails        |
      | crashes on   |
      | never begins |

  Scenario: A stream that went back to its silent target goes to no further one
    Given the entry bench with 3 engines and settings {"streams":{"tokenGapTimeoutMs":50,"firstTokenTimeoutMs":2000},"retries":{"maxAttempts":2}}
    And engine 0 of the entry falls silent for 1500 ms after 5 tokens
    And engine 1 of the entry fails every request
    When the entry gets a streamed chat request for 9 tokens
    Then the entry streams the complete text of 9 tokens, each once, with the closing event
    And engine 2 of the entry ran nothing
