Feature: Instances that lose the path to targets
  Simulations in virtual time: 7 instances with 6 requests a second each, 8 targets in 2 failure domains. A fault begins
  at 3000 ms and ends at 8000 ms.

  Scenario Outline: A cut doesn't take the targets from the others: <cut> instances whose connections to all targets <fault>
    Given that the connections of <cut> instances to all targets <fault> for 5000 ms
    When the reach is simulated with seeds 1 to 3
    Then the cut instances serve at least <served> of their requests during the fault, <cut on time> on time
    And the other instances serve at least <others> of their requests during the fault, <others on time> on time
    And the other instances trust at least 0.97 of the targets during the fault
    And each cut instance knows within <knows> ms
    And no other instance believes to be cut off
    And each instance believes in its path again 500 ms after the fault
    And no target is suspected from 600 ms after the fault on

    Examples:
      | cut | fault       | served | cut on time | others | others on time | knows |
      | 3   | hang        | 0.96   | 0.95        | 0.97   | 0.97           | 500   |
      | 3   | are refused | 0.97   | 0.97        | 0.97   | 0.97           | 500   |
      | 6   | hang        | 0.93   | 0.88        | 0.95   | 0.95           | 500   |
      | 6   | are refused | 0.93   | 0.88        | 0.95   | 0.95           | 500   |

  Scenario: New connections are refused while open ones live on
    Given that new connections of 3 instances to all targets are refused for 5000 ms
    When the reach is simulated with seeds 1 to 3
    Then the cut instances serve at least 0.97 of their requests during the fault, 0.97 on time
    And the other instances trust at least 0.97 of the targets during the fault
    And no other instance believes to be cut off
    And each instance believes in its path again 500 ms after the fault
    And no target is suspected from 600 ms after the fault on

  Scenario Outline: Connections of <cut> instances are accepted by a proxy that reaches no target
    Given that the connections of <cut> instances to all targets are silent for 5000 ms
    When the reach is simulated with seeds 1 to 3
    Then the cut instances serve at least 0.93 of their requests during the fault, 0.85 on time
    And the other instances serve at least 0.95 of their requests during the fault, 0.95 on time
    And the other instances trust at least 0.97 of the targets during the fault
    And each cut instance knows within 1000 ms
    And no other instance believes to be cut off
    And each instance believes in its path again 500 ms after the fault
    And no target is suspected from 600 ms after the fault on

    Examples:
      | cut |
      | 3   |
      | 6   |

  Scenario Outline: Without a peer that targets answer there is no cut: connections of all instances <fault>
    Given that the connections of 7 instances to all targets <fault> for 5000 ms
    When the reach is simulated with seeds 1 to 3
    Then no instance believes to be cut off from 2000 ms after the beginning of the fault on
    And at most a quarter of the targets is suspected from 1500 ms after the fault on
    And the instances serve at least 0.95 of the requests that come later than 1500 ms after the fault

    Examples:
      | fault       |
      | hang        |
      | are refused |

  Scenario: The targets of a failure domain are down for all
    Given that the connections of 7 instances to targets 0 to 3 are refused for 5000 ms
    And 3 requests a second at each instance
    When the reach is simulated with seeds 1 to 3
    Then no instance believes to be cut off
    And the instances serve at least 0.95 of their requests during the fault
    And targets 0 to 3 are suspected by at least 0.8 of the instances from 1000 ms after the beginning of the fault on

  Scenario: One target is down for all
    Given that the connections of 7 instances to targets 0 to 0 are refused for 5000 ms
    When the reach is simulated with seeds 1 to 3
    Then no instance believes to be cut off
    And targets 0 to 0 are suspected by at least 0.8 of the instances from 1000 ms after the beginning of the fault on

  Scenario: A sound target is silent for a second
    Given that the connections of 7 instances to targets 0 to 0 are silent for 1000 ms
    When the reach is simulated with seeds 1 to 3
    Then no instance believes to be cut off
    And the instances serve at least 0.99 of their requests during the fault

  Scenario: An instance loses the path to one target
    Given that the connections of 1 instance to targets 0 to 0 hang for 5000 ms
    When the reach is simulated with seeds 1 to 3
    Then no instance believes to be cut off
    And the other instances trust at least 0.98 of the targets during the fault
    And the instances serve at least 0.99 of their requests during the fault

  Scenario: Instances without requests have no evidence
    Given that the connections of 3 instances to all targets hang for 5000 ms
    And 0 requests a second at each instance
    When the reach is simulated with seeds 1 to 3
    Then no instance believes to be cut off

  Scenario: A fleet of one has no peer to ask
    Given that the connections of 1 instance to all targets hang for 5000 ms
    And a fleet of 1 instance
    When the reach is simulated with seeds 1 to 3
    Then no instance believes to be cut off

  Scenario: A cut in a fleet with few requests
    Given that the connections of 3 instances to all targets hang for 5000 ms
    And 2 requests a second at each instance
    When the reach is simulated with seeds 1 to 3
    Then the cut instances serve at least 0.95 of their requests during the fault, 0.75 on time
    And no other instance believes to be cut off
    And each instance believes in its path again 500 ms after the fault
