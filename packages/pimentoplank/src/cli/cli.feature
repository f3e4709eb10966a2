Feature: Operators' command line

  Scenario Outline: Files are validated without starting anything
    Given an operator's file "<file>" with text '<text>'
    When the operator runs "check <file>"
    Then the command line exits with <code> and prints "<says>"

    Examples:
      | file    | text                                                                          | code | says                |
      | n.json  | {"base":0,"added":[{"kind":"service","name":"desk-lm","type":"engine"}]}      | 0    | valid release-note  |
      | n.json  | {"base":0,"added":[{"kind":"service","name":"desk-lm","type":"x"}],"extra":1} | 2    | added.0.type, extra |
      | n.json  | {"base":                                                                      | 2    | valid JSON          |
      | x.json  |                                                                               | 2    | valid JSON          |

  Scenario: A missing file and invalid usage exit with 2
    When the operator runs "check no-such-file.json"
    Then the command line exits with 2 and prints "no-such-file.json"
    When the operator runs "apply"
    Then the command line exits with 2 and prints "NOTE.json"

  Scenario: The JSON Schema of settings is printed for editors
    When the operator runs "schema controller"
    Then the command line exits with 0 and prints "json-schema.org, minServingShare"

  Scenario: A note is applied once; on an outdated base the operator sees the differences
    Given a platform for the command line
    And an operator's file "n.json" with text '{"base":0,"author":"ada","added":[{"kind":"service","name":"desk-lm","type":"engine"}]}'
    When the operator runs "diff --config cli.json n.json"
    Then the command line exits with 0 and prints "desk-lm"
    When the operator runs "apply --config cli.json n.json"
    Then the command line exits with 0 and prints "1"
    When the operator runs "apply --config cli.json n.json"
    Then the command line exits with 1 and prints "ada, desk-lm"
    And the platform for the command line has 1 release note

  Scenario: Status lists an instance that does not respond
    Given a platform for the command line
    And an unreachable instance "entry-1" in its list
    When the operator runs "status --config cli.json"
    Then the command line exits with 0 and prints "entry-1, no answer"

  Scenario: Commands exit with 1 when the platform is unavailable
    Given a platform for the command line
    When the platform for the command line becomes unavailable
    And the operator runs "status --config cli.json"
    Then the command line exits with 1 and prints "platform unavailable"
    When the operator runs "drain --config cli.json entry-1"
    Then the command line exits with 1 and prints "platform unavailable"

  Scenario: A failed request is explained from the logs of all instances
    Given an operator's file "a.log" with text '2.5 front-1 {"time":"2026-01-01T00:00:02Z","msg":"try failed","instance":"front-1","req":"r1","target":"t1","reason":"broken"}'
    And an operator's file "b.log" with text '{"time":"2026-01-01T00:00:01Z","msg":"target is left out","instance":"front-1","target":"t1","reason":"silent"}'
    And an operator's file "c.log" with text 'no log line'
    When the operator runs "explain r1 a.log b.log c.log"
    Then the command line exits with 0 and prints "try failed, reason=broken, (target is left out), reason=silent"
    When the operator runs "explain r2 a.log b.log c.log"
    Then the command line exits with 1 and prints "none of 2 log lines is about r2"
    When the operator runs "explain r1 missing.log"
    Then the command line exits with 1 and prints "missing.log"
