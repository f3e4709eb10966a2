Feature: Configuration on every instance

  Scenario: A change is in force on every instance within 6 s
    Given a platform that instances follow with the product's timings
    And 24 follower instances in 4 failure domains at configuration 1
    When an operator's change number 2 is accepted
    Then every follower instance has configuration 2 within 6 s

  Scenario Outline: Watches at the platform do not grow with the number of instances
    Given a platform that instances follow with the product's timings
    And <instances> follower instances in 2 failure domains at configuration 1
    Then at most 4 of the follower instances watch the platform
    And a change costs at most <reads> platform calls for <instances> follower instances

    Examples:
      | instances | reads |
      | 10        | 60    |
      | 20        | 60    |
      | 40        | 60    |

  Scenario: Neither a stale platform nor a restart reverts the configuration
    Given a platform that instances follow
    And 8 follower instances in 2 failure domains at configuration 2
    When a follower instance that watches the platform is started on a platform replica with configuration 1
    Then every follower instance has configuration 2 within 6 s
    When one of the others is restarted on that replica
    Then every follower instance has configuration 2 within 6 s
    And no follower instance ever reverted its configuration
    And no follower instance ever had configuration 1 after configuration 2 was in force

  Scenario: An instance that boots in an outage gets the configuration from peers
    Given a platform that instances follow
    And 6 follower instances in 2 failure domains at configuration 1
    When the platform of the followers goes down
    And a follower instance is started beside the others
    Then every follower instance has configuration 1 within 6 s
    And the started follower instance knows the other instances

  Scenario: All instances keep their configuration during an outage and follow changes after it
    Given a platform that instances follow
    And 6 follower instances in 2 failure domains at configuration 1
    When the platform of the followers goes down
    And every follower instance has noticed the outage
    Then every follower instance has configuration 1 within 6 s
    When the platform of the followers comes back
    And an operator's change number 2 is accepted
    Then every follower instance has configuration 2 within 6 s
    And no follower instance ever reverted its configuration

  Scenario: An instance that was cut off from everyone catches up
    Given a platform that instances follow
    And 6 follower instances in 2 failure domains at configuration 1
    When one follower instance is cut off from the platform and its peers
    And an operator's change number 2 is accepted
    And an operator's change number 3 is accepted
    Then the connected follower instances have configuration 3 within 6 s
    When the follower instance that was cut off is connected again
    Then every follower instance has configuration 3 within 6 s

  Scenario: The loss of all instances that watch the platform does not keep a change from the others
    Given a platform that instances follow with the product's timings
    And 12 follower instances in 2 failure domains at configuration 1
    When all follower instances that watch the platform are killed
    And an operator's change number 2 is accepted
    Then every follower instance has configuration 2 within 6 s

  Scenario: Watching instances whose connections stop responding do not keep a change from the others
    Given a platform that instances follow with the product's timings
    And 12 follower instances in 2 failure domains at configuration 1
    When the connections of all follower instances that watch the platform stop responding
    And an operator's change number 2 is accepted
    Then the connected follower instances have configuration 2 within 6 s

  Scenario: A leaving target is excluded everywhere although the list is out of date
    Given a platform that instances follow
    And 12 follower instances in 2 failure domains at configuration 1
    And a target "engine-1" in the list of all follower instances
    And the instance list of the platform is no longer updated
    When one follower instance sees that target "engine-1" is leaving
    Then every follower instance considers target "engine-1" leaving within 6 s

  Scenario: An instance that announces that it is leaving is removed at once, and listed again after its restart
    Given a platform that instances follow
    And 6 follower instances in 2 failure domains at configuration 1
    And the instance list of the platform is no longer updated
    When a follower instance announces that it is leaving
    Then every other follower instance removes it within 6 s
    When that follower instance is restarted at the same address
    Then every other follower instance lists it again within 6 s

  Scenario Outline: After any sequence of faults every instance has the newest configuration, and none reverted it
    Given a platform that instances follow
    And 6 follower instances in 2 failure domains at configuration 1
    When a random sequence of 10 faults and changes from seed <seed> is applied to the follower instances
    And all faults of the follower instances end
    Then every follower instance has the newest configuration within 10 s
    And no follower instance ever reverted its configuration

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
