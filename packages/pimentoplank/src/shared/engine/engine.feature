@rawEngine
Feature: Client of model engines

  Scenario Outline: An engine that <what>
    Given a raw engine that <what>
    When the engine client reads its stream
    Then the engine client received <tokens> tokens and then <kind>, reached <reached>

    Examples:
      | what                                      | tokens | kind          | reached |
      | ends with a reason and the mark           | 2      | end           | true    |
      | ends in order without the mark            | 2      | streamCut     | true    |
      | has the mark without a reason             | 2      | streamCut     | true    |
      | breaks off                                | 2      | streamCut     | true    |
      | goes silent                               | 2      | streamSilent  | true    |
      | never answers                             | 0      | streamSilent  | true    |
      | breaks off before its head                | 0      | streamCut     | true    |
      | says that it leaves                       | 0      | targetLeaving | false   |
      | fails                                     | 0      | targetError   | true    |
      | sends bytes without end and without events | 0     | targetError   | true    |
      | fails with a body without end             | 0      | targetError   | true    |
      | does not listen                           | 0      | connectFailed | false   |
      | puts an error into its stream             | 2      | targetError   | true    |
      | answers 200 with an error                 | 0      | streamCut     | true    |
      | answers 204 with nothing                  | 0      | rejected      | true    |
      | answers 206 with events                   | 0      | rejected      | true    |
      | answers 302 with events                   | 0      | rejected      | true    |
      | answers 404 with events                   | 0      | rejected      | true    |
      | answers 422 with events                   | 0      | rejected      | true    |
      | answers 429 with events                   | 0      | rejected      | true    |
      | answers 500 with events                   | 0      | targetError   | true    |
      | answers 503 with events                   | 0      | targetError   | true    |
