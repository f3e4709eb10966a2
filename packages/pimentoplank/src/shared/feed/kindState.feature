Feature: State of a followed kind

  Scenario: Random deliveries never revert an object, and end at the newest state
    Given random sequences of writes, delivered by sources that are current, late or repeat themselves
    Then the feed state never emits an older revision of an object after a newer one
    And the feed state equals the store after a final full read

  Scenario: A full read that is older than the known state is rejected
    Given a feed state that knows object "a" at revision 9
    When a full read as of revision 5 without object "a" arrives
    Then the feed state rejects it and keeps object "a"

  Scenario: A removed object stays removed when a late source still returns it
    Given a feed state that knows object "a" at revision 3
    When the removal of object "a" at revision 7 arrives
    And object "a" at revision 3 is offered again
    Then the feed state does not contain object "a"
