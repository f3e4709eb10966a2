Feature: An instance that stands still misses what the others tell

  Scenario: Streams that moved to another version meanwhile don't go on at the first one
    When streams move to another version while an instance stands still, and are taken up there
    Then no stream holds events of both versions
