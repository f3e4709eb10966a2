Feature: At which software version a stream may go on

  Scenario Outline: A stream of which nothing is known, <case>
    Given a service that has been followed for <followed> s, with versions last registered <versions>
    When the version of a stream that may have begun 4 s ago is looked for
    Then it is "<version>"

    Examples:
      | case                                         | followed | versions        | version |
      | while only one version has served            | 5        | v1 now          | v1      |
      | while two versions serve                     | 5        | v1 now, v2 now  | unknown |
      | just after the other version has left        | 5        | v1 3 ago, v2 now | unknown |
      | long after the other version has left        | 60       | v1 9 ago, v2 now | v2      |
      | at an instance that has just started         | 1        | v1 now          | unknown |
      | after the last target of its version is gone | 5        | v1 2 ago        | v1      |

  Scenario: A stream of which nothing is known, while an entry is out of date
    Given a service that has been followed for 60 s, with versions last registered v1 now
    And the entry of one of its targets is out of date
    When the version of a stream that may have begun 4 s ago is looked for
    Then it is "unknown"

  Scenario Outline: The version of a stream that was placed at a process <case>
    Given an entry that describes a process of version v1 that started at <listed>
    When a stream is placed at the process that started at <found>, and an entry of version v2 and start 70 comes later
    Then its version is "<at first>" at first and "<later>" later

    Examples:
      | case                                  | listed  | found   | at first | later   |
      | which the entry describes             | 50      | 50      | v1       | v1      |
      | which the entry doesn't describe yet  | 50      | 70      | unknown  | v2      |
      | which no entry ever describes         | 50      | 60      | unknown  | unknown |
      | which doesn't tell its start          | 50      | unknown | unknown  | unknown |
      | while entries don't tell it           | unknown | unknown | v1       | v1      |

  Scenario: A broken stream goes on at targets of its version only
    Given targets "a v1, b v2, c v1"
    When a stream of version v1 that failed at "a" looks for a target
    Then it may go on at "c"

  Scenario: The last target of a version is used again before the stream is given up
    Given targets "a v1, b v2"
    When a stream of version v1 that failed at "a" looks for a target
    Then it may go on at "a"

  Scenario: A target whose entry is out of date gets no begun streams
    Given targets "a v1, c v1 outdated"
    When a stream of version v1 that failed at "none" looks for a target
    Then it may go on at "a"

  Scenario: A stream is not sent to a target whose entry is out of date, even if there is no other
    Given targets "a v1 outdated, b v2"
    When a stream of version v1 that failed at "a" looks for a target
    Then it may go on at "none"
