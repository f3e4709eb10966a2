Feature: Silent targets
  A request queued at a target gets no bytes either, and each instance of a large fleet sees few requests to one target.

  Scenario: One request without first bytes may be queued at the target
    When a request exceeds the timeout for its first bytes
    Then the target is reported as possibly silent

  Scenario: Two requests without first bytes make the silence certain
    When a request exceeds the timeout for its first bytes
    And a request exceeds the timeout for its first bytes
    Then the target is reported as silent for certain

  Scenario: Bytes of another request reset the suspicion
    When a request exceeds the timeout for its first bytes
    And another request gets bytes
    And a request exceeds the timeout for its first bytes
    Then the target is reported as possibly silent

  Scenario: The silence of a stream that has begun is certain
    When a request gets bytes and then exceeds the timeout between bytes
    Then the target is reported as silent for certain

  Scenario: A target that goes on after its silence and falls silent again is reported again
    When a request is reported as silent, gets bytes and exceeds the timeout again
    Then the target is reported as silent for certain

  Scenario: Requests that a target keeps waiting at the same time report one silence
    When 4 requests get bytes and then exceed the timeout between bytes together
    Then the target's silence is new in 1 report

  Scenario: A target that stays silent is reported anew by requests that were sent to it after the report
    When 4 requests exceed the timeout for their first bytes one after the other
    Then the target's silence is new in 3 reports

  Scenario: A busy event loop is not taken for the silence of a target
    Given a target in another thread that sends bytes every 5 ms
    When this instance is busy for 100 ms between its bytes
    Then the target is not reported as silent
