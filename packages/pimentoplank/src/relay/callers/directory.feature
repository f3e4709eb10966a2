Feature: Directory of instances

  Scenario: Instances that are cut off from targets are not listed beside others
    Given an instance "a" whose directory knows instances "b" to "d"
    When instances "b" to "c" are cut off from targets
    Then the directory lists "a, d"

  Scenario: An instance that is cut off itself names others only
    Given an instance "a" whose directory knows instances "b" to "d"
    When instances "a" to "a" are cut off from targets
    Then the directory lists "b, c, d"

  Scenario: All instances are listed when all are cut off
    Given an instance "a" whose directory knows instances "b" to "d"
    When instances "a" to "d" are cut off from targets
    Then the directory lists "a, b, c, d"

  Scenario: One instance that reaches targets doesn't get the callers of all
    Given an instance "a" whose directory knows instances "b" to "g"
    When instances "b" to "g" are cut off from targets
    Then the directory lists "a, b, c, d, e, f, g"

  Scenario: An instance that reaches targets and leaves is not preferred to one that serves
    Given an instance "a" whose directory knows instances "b" to "b"
    When instances "a" to "a" are cut off from targets
    And instance "b" leaves
    Then the directory lists "a"
