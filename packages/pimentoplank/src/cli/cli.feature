Feature: Operators' command line

  Scenario Outline: Files are checked without starting anything
    Given an operator's file "<file>" with text '<text>'
    When the operator runs "check <file>"
    Then the command line ends with <code> and says "<says>"

    Examples:
      | file    | text                                                                          | code | says                |
      | n.json  | {"base":0,"added":[{"kind":"service","name":"desk-lm","type":"engine"}]}      | 0    | valid release-note  |
      | n.json  | {"base":0,"added":[{"kind":"service","name":"desk-lm","type":"x"}],"extra":1} | 2    | added.0.type, extra |
      | n.json  | {"base":                                                                      | 2    | valid JSON          |
      | x.json  |                                                                               | 2    | valid JSON          |

  Scenario: A missing file and wrong usage end with 2
    When the operator runs "check no-such-file.json"
    Then the command line ends with 2 and says "no-such-file.json"
    When the operator runs "apply"
    Then the command line ends with 2 and says "NOTE.json"

  Scenario: The JSON Schema of settings is printed for editors
    When the operator runs "schema controller"
    Then the command line ends with 0 and says "json-schema.org, minServingShare"

  Scenario: A note is applied once; on an old base the operator sees the differences
    Given a platform for the command line
    And an operator's file "n.json" with text '{"base":0,"author":"ada","added":[{"kind":"service","name":"desk-lm","type":"engine"}]}'
    When the operator runs "diff --config cli.json n.json"
    Then the command line ends with 0 and says "desk-lm"
    When the operator runs "apply --config cli.json n.json"
    Then the command line ends with 0 and says "1"
    When the operator runs "apply --config cli.json n.json"
    Then the command line ends with 1 and says "ada, desk-lm"
    And the platform for the command line holds 1 release note

  Scenario: Status shows the others when an instance is dead
    Given a platform for the command line
    And an instance "entry-1" in its list that is dead
    When the operator runs "status --config cli.json"
    Then the command line ends with 0 and says "entry-1, no answer"

  Scenario: A platform that is not there ends commands with 1
    Given a platform for the command line
    When the platform for the command line goes away
    And the operator runs "status --config cli.json"
    Then the command line ends with 1 and says "platform unavailable"
    When the operator runs "drain --config cli.json entry-1"
    Then the command line ends with 1 and says "platform unavailable"

  Scenario: A failed request is explained from the logs of all instances
    Given an operator's file "a.log" with text '2.5 front-1 {"time":"2026-01-01T00:00:02Z","msg":"try failed","instance":"front-1","req":"r1","target":"t1","reason":"broken"}'
    And an operator's file "b.log" with text '{"time":"2026-01-01T00:00:01Z","msg":"target is left out","instance":"front-1","target":"t1","reason":"silent"}'
    And an operator's file "c.log" with text 'no log line'
    When the operator runs "explain r1 a.log b.log c.log"
    Then the command line ends with 0 and says "try failed, reason=broken, (target is left out), reason=silent"
    When the operator runs "explain r2 a.log b.log c.log"
    Then the command line ends with 1 and says "no line of 2 is about r2"
    When the operator runs "explain r1 missing.log"
    Then the command line ends with 1 and says "missing.log"
