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

  Scenario Outline: A target that changes its version <case>
    When a run was placed <placed> ms before the target's entry showed another version
    Then the version of the run is <certainty>

    Examples:
      | case                                  | placed | certainty |
      | as its run begins                     | 300    | in doubt  |
      | long after its run began              | 1500   | certain   |
      | before its run begins                 | -1     | certain   |

  Scenario: A broken stream goes on at targets of its version only
    Given targets "a v1, b v2, c v1"
    When a stream of version v1 that failed at "a" looks for a target
    Then it may go on at "c"

  Scenario: The last target of a version is used again before the stream is given up
    Given targets "a v1, b v2"
    When a stream of version v1 that failed at "a" looks for a target
    Then it may go on at "a"

  Scenario: A target whose runs have just broken off may be back at another version
    Given targets "a v1, c v1 broke off 200 ms ago"
    When a stream of version v1 that failed at "none" looks for a target
    Then it may go on at "a"

  Scenario: A stream waits for a target whose runs have just broken off, but not without end
    Given targets "a v1 broke off 200 ms ago, b v2"
    When a stream of version v1 that failed at "none" looks for a target
    Then it may go on at "none"
    When 500 ms pass in which runs there break off again and again
    Then it may go on at "a"
