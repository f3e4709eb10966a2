Feature: The system's clock

  Scenario: Many sleeps that one signal ends cause no warning of Node
    Given warnings of Node are recorded
    When 24 sleeps of 60 s begin that one signal ends
    And the signal aborts
    Then all of them have ended
    And no warning was recorded

  Scenario: A sleep that is over leaves others of its signal alone
    When a sleep of 10 ms and one of 60 s begin that one signal ends
    Then the short one ends by itself
    And the long one has not ended
    When the signal aborts
    Then all of them have ended
