Feature: Targets that live on end unframed answers early, in an orderly way

  Scenario: Callers don't get a part of an answer that may be resumed as the whole
    When targets without framing play these ends with seed 3275:
      | closed connections | share of answers | listed after a cut, in ms |
      | none               | 0                | 0                         |
      | its own            | 0.05             | 0                         |
      | all                | 0.03             | 100                       |
    Then streams that may be resumed, and items, ended early wherever connections were closed
    And no broken promise is found
    And no sound answer that came in time is incomplete where no connection was closed
    And no answer that may not be resumed and ended early looks whole
