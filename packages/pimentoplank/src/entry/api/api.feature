@entryBench
Feature: The caller API of an entry instance

  Scenario Outline: The entry refuses <what>
    Given the entry bench with 1 engine and settings {"maxBodyBytes":2000}
    When a caller of the entry sends <what>
    Then the entry answers <status> with reason <reason> and outcome not_run
    And the entry's response names <field>
    And the entry counts a refusal for <reason>
    And no target of the entry ran anything

    Examples:
      | what                         | status | reason         | field                |
      | broken JSON                  | 400    | badRequest     | nothing              |
      | an unknown model             | 404    | unknownModel   | model                |
      | an unknown adapter           | 404    | unknownModel   | model                |
      | a wrong type                 | 400    | badRequest     | max_tokens           |
      | no messages                  | 400    | badRequest     | messages             |
      | an oversized body            | 413    | bodyTooLarge   | nothing              |
      | an oversized chunked body    | 413    | bodyTooLarge   | nothing              |
      | no key                       | 401    | unauthorized   | nothing              |
      | an unknown key               | 401    | unauthorized   | nothing              |
      | a broken timeout             | 400    | badRequest     | X-Request-Timeout-Ms |
      | no-repeat without a key      | 400    | badRequest     | Idempotency-Key      |
      | a call of an unknown service | 404    | unknownService | name                 |
      | a call of an engine service  | 404    | unknownService | name                 |
      | an unknown path              | 404    | notFound       | nothing              |

  Scenario: The entry limits the request rate of an account
    Given the entry bench with 1 engine
    When the slow account sends 2 requests to the entry
    Then the entry answers 429 with reason accountRate and outcome not_run
    And the entry's answer says when to come back

  Scenario: The entry limits the requests of an account in flight
    Given the entry bench with 1 engine
    And the entry's engine 0 pauses streams after 2 tokens
    When the slow account sends 2 requests to the entry at once
    Then the entry answers 429 with reason accountLimit and outcome not_run

  Scenario: The entry refuses requests until it has a configuration
    Given the entry bench with 1 engine
    And the entry has no configuration yet
    When the entry gets a chat request for 4 tokens
    Then the entry answers 503 with reason starting and outcome not_run
    And the entry's answer says when to come back

  Scenario: The entry's directory lists the caller's failure domain first and spreads accounts
    Given the entry bench with 1 engine and settings {"directory":{"maxInstances":8}}
    And the entry knows 6 instances in each of 2 failure domains, one of them leaving
    Then the entry's directory for domain-1 starts with 5 instances of domain-1
    And the entry's directory leaves out the leaving instance
    And the entry's directory differs between accounts

  Scenario: An adapter is a model of its own for callers
    Given the entry bench with 1 engine
    Then the entry lists the models desk-lm-8b and desk-lm-8b+guides
