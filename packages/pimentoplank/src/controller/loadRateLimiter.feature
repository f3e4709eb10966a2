Feature: Rate limit of ordered weights

  Scenario: Loads of any size stay within the rate
    Given a load rate limit of 100 MB a second
    When loads of 50, 200, 10 and 500 MB wait for it one after the other
    Then the loads are admitted after 0, 500, 2500 and 2600 ms
