Feature: Callers who come back at once, after the first event of a stream

  Scenario Outline: A stream that moved to another version before its first event goes on there, its first instance <state>
    When <plays> plays of 240 streams are left after one event and taken up at once elsewhere, and their instances <fault>
    Then at least 20 of the streams had moved to another version before their first event
    And no stream that was taken up holds events of both versions
    And at least half of the streams that were taken up went on at once

    Examples:
      | state    | fault  | plays |
      | serving  | none   | 2     |
      | killed   | kill   | 2     |
      | frozen   | freeze | 2     |

  Scenario Outline: Streams go on at their version between instances of <commit> and present ones
    Given 3 of 7 instances run the program of <commit>
    When 2 plays of 240 streams are left after one event and taken up at once elsewhere, and their instances none
    Then at least 20 of the streams had moved to another version before their first event
    And at least 40 streams went from older to present instances, and 40 the other way round
    And no stream that was taken up holds events of both versions
    And at least half of the streams that were taken up went on at once

    Examples:
      | commit  |
      | 6ebdbfe |
      | ac1373f |
      | 73ceb3c |
      | 97b2886 |
