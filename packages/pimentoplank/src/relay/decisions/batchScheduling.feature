Feature: Items of several services

  # Guards against items that wait for slots which only items of another service could use.
  Scenario Outline: Items that wait elsewhere for <where> <decision> earlier than one that is due later
    Given 2 targets of service "beta" with 1 free slot each, and an item for them that is due in 2000 ms
    And another instance has 60 items for <where> that are due in 500 ms
    When items run at <services>
    Then the item <outcome>

    Examples:
      | where              | services        | decision      | outcome        |
      | service "alpha"    | several         | don't start   | starts         |
      | service "beta"     | several         | start         | doesn't start  |
      | a service not said | several         | don't start   | starts         |
      | a service not said | one             | start         | doesn't start  |
