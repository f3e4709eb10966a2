@entryBench
Feature: Live completions through an entry instance

  Scenario Outline: The entry answers a <kind> request in one response
    Given the entry bench with 2 engines
    When the entry gets a <kind> request for 12 tokens
    Then the entry answers 200 with the complete text of 12 tokens

    Examples:
      | kind       |
      | chat       |
      | completion |

  Scenario Outline: The entry streams a <kind> answer token by token
    Given the entry bench with 2 engines
    When the entry gets a streamed <kind> request for 12 tokens
    Then the entry streams the complete text of 12 tokens, each once, with the closing event

    Examples:
      | kind       |
      | chat       |
      | completion |

  Scenario Outline: The entry recovers from faults of a target: <fault>
    Given the entry bench with 2 engines
    And the entry bench makes engine 0 <fault>
    When the entry gets a streamed chat request for 12 tokens
    Then the entry streams the complete text of 12 tokens, each once, with the closing event
    And the entry counts a retry for <reason>
    And the entry holds no slot any more

    Examples:
      | fault                  | reason         |
      | refuse connections     | connectFailed  |
      | answer that it leaves  | targetLeaving  |
      | answer that it is busy | targetBusy     |
      | miss the model         | modelNotLoaded |
      | cut every 5 tokens     | streamCut      |
      | go silent after a cut  | streamSilent   |

  Scenario: The entry resumes a stream whose connection is silent
    Given the entry bench with 1 engine
    When the entry gets a streamed chat request for 400 tokens
    And the entry's connections to engine 0 go silent after 5 tokens
    Then the entry streams the complete text of 400 tokens, each once, with the closing event
    And engine 0 ran the entry's request once

  Scenario: The entry never presents a truncated answer as complete
    Given the entry bench with 1 engine
    When the entry gets a streamed chat request for 40 tokens
    And engine 0 of the entry dies after 5 tokens
    Then the entry's stream ends with an error event and without the closing event
    And the entry's stream has outcome failed

  Scenario: The entry answers 502 when an unstreamed answer was truncated
    Given the entry bench with 1 engine
    When the entry gets a chat request for 40 tokens
    And engine 0 of the entry dies after 5 tokens
    Then the entry answers 502 with reason targetFailed and outcome failed

  Scenario: The entry reports not_run when no target can be reached
    Given the entry bench with 1 engine
    And the entry bench makes engine 0 refuse connections
    When the entry gets a chat request for 4 tokens
    Then the entry answers 503 with reason noTarget and outcome not_run
    And the entry's answer says when to come back

  Scenario: At the deadline the entry ends the request, frees the slot and stops the stream
    Given the entry bench with 1 engine
    When the entry gets a chat request for 4000 tokens with header X-Request-Timeout-Ms 150
    Then the entry answers 504 with reason timeout and outcome unknown
    And engine 0 of the entry has stopped every stream
    And the entry holds no slot any more

  Scenario: The entry stops the stream of a caller that disconnects
    Given the entry bench with 1 engine
    When the entry gets a streamed chat request for 4000 tokens whose caller disconnects after 5 tokens
    Then engine 0 of the entry has stopped every stream
    And the entry holds no slot any more
    And the entry holds nothing against engine 0

  Scenario: A request that the target rejects as invalid is not held against the target
    Given the entry bench with 1 engine
    When the entry gets a chat request that the engine rejects as invalid
    Then the entry answers 400 with reason badRequest and outcome not_run
    And the entry holds nothing against engine 0

  Scenario: The entry stops retrying when the budget is spent
    Given the entry bench with 2 engines and settings {"retries":{"budgetRatio":0,"budgetReserve":0}}
    And the entry bench makes engine 0 refuse connections
    When the entry gets a chat request for 4 tokens
    Then the entry answers 503 with reason retryBudget and outcome not_run

  Scenario: The entry replays the answer of a completion that runs at most once
    Given the entry bench with 2 entries and 2 engines
    When the entry gets a streamed chat request for 12 tokens that runs at most once, at instance 0
    Then the entry streams the complete text of 12 tokens, each once, with the closing event
    When the entry gets a chat request for 12 tokens that runs at most once, at instance 1, until it is settled
    Then the entry answers 422 with reason onceKeyReused and outcome not_run
    When the entry gets a streamed chat request for 12 tokens that runs at most once, at instance 1
    Then the entry streams the complete text again
    And the entry's engines ran 1 request

  Scenario: The entry never reruns an at-most-once completion whose target died
    Given the entry bench with 2 entries and 2 engines
    When the entry gets a streamed chat request for 40 tokens that runs at most once, at instance 0
    And engine 0 of the entry dies after 5 tokens
    Then the entry's stream ends with an error event and without the closing event
    When the entry gets a streamed chat request for 40 tokens that runs at most once, at instance 1
    Then the entry answers 409 with reason onceUnknown and outcome unknown
    And the entry's engines ran 1 request
