Feature: Rate of ordered weights

  Scenario: Ordered megabytes keep to the rate, whatever their sizes
    Given a load budget of 100 MB a second
    When loads of 50, 200, 10 and 500 MB wait for it one after the other
    Then the load budget lets them go after 0, 500, 2500 and 2600 ms
