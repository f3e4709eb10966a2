Feature: Items and the software versions of targets

  Scenario: An item of a crowded version does not block the rest
    Given targets "a" of version "v1" with 0 free slots and "b" of version "v2" with 2
    And items "first" of version "v1" due in 1000 ms and "second" of any version due in 2000 ms
    Then these items start: second at b

  Scenario: Items that can choose leave the slots of a version to an item that can't
    Given targets "a" of version "v1" with 1 free slot and "b" of version "v2" with 1
    And items "first" of any version due in 1000 ms and "second" of version "v1" due in 2000 ms
    Then these items start: second at a, first at b

  Scenario: An item goes on only at its version although another target has more room
    Given targets "a" of version "v1" with 1 free slot and "b" of version "v2" with 8
    And items "first" of version "v1" due in 1000 ms and "second" of version "v1" due in 2000 ms
    Then these items start: first at a

  Scenario: Waiting items of a crowded version on another instance do not block the rest
    Given targets "a" of version "v1" with 0 free slots and "b" of version "v2" with 2
    And items "first" of any version due in 1000 ms and "second" of version "v2" due in 2000 ms
    And another instance has 9 items of version "v1" due in 500 ms
    Then these items start: second at b, first at b

  Scenario: Items of another instance that are due earlier get the slots of their version
    Given targets "a" of version "v1" with 1 free slot and "b" of version "v2" with 2
    And items "first" of version "v1" due in 1000 ms and "second" of version "v2" due in 2000 ms
    And another instance has 1 item of version "v1" due in 500 ms
    Then these items start: second at b

  Scenario Outline: An item whose version is <case> <decision>
    Given <same> targets of the item's version and <others> of other versions
    And room at its version: <room>, elsewhere: <elsewhere>
    And the item has waited for <waited> ms, needs 2000 of 5000 ms and is due in <due> ms
    Then the decision is "<decision>"

    Examples:
      | case                         | same | others | room | elsewhere | waited | due   | decision                  |
      | gone                         | 0    | 2      | no   | no        | 0      | 20000 | beginAnew versionGone     |
      | gone with all targets        | 0    | 0      | no   | no        | 60000  | 20000 | goOn                      |
      | free                         | 1    | 2      | yes  | yes       | 60000  | 20000 | goOn                      |
      | crowded like all others      | 1    | 2      | no   | no        | 60000  | 20000 | goOn                      |
      | crowded for a short time     | 1    | 2      | no   | yes       | 2900   | 20000 | goOn                      |
      | crowded for long             | 1    | 2      | no   | yes       | 3000   | 20000 | beginAnew versionCrowded  |
      | crowded at the last moment   | 1    | 2      | no   | yes       | 200    | 5300  | beginAnew dueSoon         |
      | crowded after that           | 1    | 2      | no   | yes       | 200    | 4900  | goOn                      |
