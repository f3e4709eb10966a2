@entryBench
Feature: Requests that crash targets, at entry instances

  Scenario: Content is quarantined at every instance after the second target crash
    Given the entry bench with 2 entries and 4 engines
    And the entry bench's engines crash on POISON
    When a request with prompt "POISON 1" is sent to entry 0
    Then that request is refused with 422 quarantined
    And 2 engines of the entry bench are dead
    When a request with prompt "POISON 1" is sent to entry 1
    Then that request is refused with 422 quarantined
    And 2 engines of the entry bench are dead

  Scenario: A resend through another instance counts the first crash
    Given the entry bench with 2 entries, 4 engines and settings {"retries":{"budgetReserve":0,"budgetRatio":0}}
    And the entry bench's engines crash on POISON
    When a request with prompt "POISON 2" is sent to entry 0
    Then that request is refused with 503 retryBudget
    When the dead engines of the entry bench are removed from the list
    And a request with prompt "POISON 2" is sent to entry 1
    Then that request is refused with 422 quarantined
    When a request with prompt "POISON 2" is sent to entry 0
    Then that request is refused with 422 quarantined
    And 2 engines of the entry bench are dead

  Scenario: Requests that run beside a crashing request complete and are not quarantined
    Given the entry bench with 1 entries and 5 engines
    And the entry bench's engines crash on POISON
    And the entry bench's engines hold streams after 3 tokens
    When requests with prompts "good 1" and "good 2" run on engine 0
    And a request with prompt "POISON 3" is sent to entry 0
    Then that request is refused with 422 quarantined
    When the entry bench's engines hold streams no more
    Then the concurrent requests get complete answers
    When a request with prompt "good 1" is sent to entry 0
    Then that request is answered completely

  Scenario: Requests survive the simultaneous death of several targets
    Given the entry bench with 1 entries and 6 engines
    And the entry bench's engines hold streams after 3 tokens
    When requests with prompts "good 1" and "good 2" run on engine 0
    And engines 0 to 2 of the entry bench die together
    And the entry bench's engines hold streams no more
    Then the concurrent requests get complete answers
    When a request with prompt "good 1" is sent to entry 0
    Then that request is answered completely

  Scenario: A cut connection to a running target is not counted as a crash
    Given the entry bench with 1 entries and 2 engines
    And the entry bench makes engine 0 cut every 5 tokens
    When a request with prompt "good 1" is sent to entry 0
    Then that request is answered completely
    And the platform of the entry bench holds no crash record

  Scenario: Requests that share a message on which engines crash are refused, although no two are alike
    Given the entry bench with 2 entries and 9 engines
    And the entry bench's engines crash on POISON
    When chats with the message "POISON" and a question of their own are sent 8 times, to each entry in turn
    Then the last of them is refused with 422 quarantined
    And at most 5 engines of the entry bench are dead
    When a chat with the message "good" and a question of its own is sent to entry 0
    Then that chat is answered completely
    When the entry bench's engines crash no more
    Then chats with the message "POISON" are soon answered at each entry
