Feature: The checks of streams can fail

  Scenario Outline: <streams> stream(s) taken up at another version violate order
    Given <streams> streams whose first 3 events came from v1
    When each is taken up at v2, which sends the other 9 events
    Then order is violated

    Examples:
      | streams |
      | 1       |
      | 3       |

  Scenario: Answers that go on at another version violate order
    Given 3 answers of which v1 sent 5 events and v2 the others
    Then order is violated

  Scenario: Answers that go on at their version, beside runs of another one, keep order
    Given 3 answers of which v1 sent 5 events, v2 11 in vain, and v1 the others
    Then nothing is violated

  Scenario: Items that go on at another version violate order
    Given 3 items of which v1 sent 5 events and v2 the others
    Then order is violated

  Scenario: Items that begin anew at another version keep order
    Given 3 items of which v1 sent 5 events and v2 all
    Then nothing is violated

  Scenario Outline: <taken> streams taken up, of which <on> go on <case>
    Given <serving> targets of version v1 and 20 new streams that begin
    When <taken> streams of version v1 are taken up and <on> of them go on
    Then <violated> is violated

    Examples:
      | taken | on | serving | violated | case                                   |
      | 12    | 5  | 2       | lost     | at two targets of their version        |
      | 12    | 6  | 2       | nothing  | which is half of them                  |
      | 11    | 0  | 2       | nothing  | and which are too few to tell          |
      | 12    | 0  | 1       | nothing  | at the only target of their version    |

  Scenario Outline: Streams that are taken up at instances out of touch are not lost: <trouble>
    Given 2 targets of version v1 and 20 new streams that begin
    And a fault of <trouble> 2000 ms before the streams are taken up
    When 12 streams of version v1 are taken up and 0 of them go on
    Then nothing is violated

    Examples:
      | trouble      |
      | the instance |
      | the store    |
      | a target     |

  Scenario Outline: An answer cut in a pause <case>
    Given an answer cut after <ms> ms, while its target pauses
    And <trouble> 1000 ms before the answer
    Then <violated> is violated

    Examples:
      | ms   | trouble                 | violated | case                              |
      | 700  | nothing                 | silence  | of a sound target                 |
      | 3900 | nothing                 | nothing  | at the route's timeout            |
      | 700  | a fault of the instance | nothing  | by an instance that was disturbed |
      | 700  | a cut of the instance   | nothing  | by an instance that was cut off   |
      | 700  | a fault of a target     | nothing  | of a target that was disturbed    |
      | 700  | the caller leaving      | nothing  | by its caller                     |

  Scenario Outline: A stream taken up <how> is not whole
    Given 1 stream whose first 3 events came from v1
    When each is taken up <how>
    Then whole is violated

    Examples:
      | how                                   |
      | with event 4 missing                  |
      | with event 3 once more                |
      | without its last event                |
      | with more bytes than its caller keeps |
