Feature: State of a followed kind

  Scenario: Random deliveries never move an object back, and end at the newest state
    Given random sequences of writes, delivered by honest, late and repeated sources
    Then the feed state never shows an older revision of an object after a newer one
    And the feed state equals the store after a last read of it

  Scenario: A full read that is older than what is known is refused
    Given a feed state that knows object "a" at revision 9
    When a full read as of revision 5 without object "a" arrives
    Then the feed state refuses it and keeps object "a"

  Scenario: A removed object stays removed when a late source still shows it
    Given a feed state that knows object "a" at revision 3
    When the removal of object "a" at revision 7 arrives
    And object "a" at revision 3 is offered again
    Then the feed state shows no object "a"
