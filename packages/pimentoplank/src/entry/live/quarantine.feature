@entryBench
Feature: Requests that crash targets, at entry instances

  Scenario: The second target that dies with a request makes its content quarantined everywhere
    Given the entry bench with 2 entries and 4 engines
    And the entry bench's engines crash on POISON
    When a request with prompt "POISON 1" is sent to entry 0
    Then that request is refused with 422 quarantined
    And 2 engines of the entry bench are dead
    When a request with prompt "POISON 1" is sent to entry 1
    Then that request is refused with 422 quarantined
    And 2 engines of the entry bench are dead

  Scenario: A resend through another instance counts the first death
    Given the entry bench with 2 entries, 4 engines and settings {"retries":{"budgetReserve":0,"budgetRatio":0}}
    And the entry bench's engines crash on POISON
    When a request with prompt "POISON 2" is sent to entry 0
    Then that request is refused with 503 retryBudget
    When the dead engines of the entry bench leave the list
    And a request with prompt "POISON 2" is sent to entry 1
    Then that request is refused with 422 quarantined
    When a request with prompt "POISON 2" is sent to entry 0
    Then that request is refused with 422 quarantined
    And 2 engines of the entry bench are dead

  Scenario: What ran beside a crashing request completes and stays welcome
    Given the entry bench with 1 entries and 5 engines
    And the entry bench's engines crash on POISON
    And the entry bench's engines hold streams after 3 tokens
    When requests with prompts "good 1" and "good 2" run on engine 0
    And a request with prompt "POISON 3" is sent to entry 0
    Then that request is refused with 422 quarantined
    When the entry bench's engines hold streams no more
    Then the requests beside it get their whole answers
    When a request with prompt "good 1" is sent to entry 0
    Then that request is answered whole

  Scenario: A request goes on past several targets that died together
    Given the entry bench with 1 entries and 6 engines
    And the entry bench's engines hold streams after 3 tokens
    When requests with prompts "good 1" and "good 2" run on engine 0
    And engines 0 to 2 of the entry bench die together
    And the entry bench's engines hold streams no more
    Then the requests beside it get their whole answers
    When a request with prompt "good 1" is sent to entry 0
    Then that request is answered whole

  Scenario: A cut connection to a living target is no death
    Given the entry bench with 1 entries and 2 engines
    And the entry bench makes engine 0 cut every 5 tokens
    When a request with prompt "good 1" is sent to entry 0
    Then that request is answered whole
    And the platform of the entry bench holds no crash record
