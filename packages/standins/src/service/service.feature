Feature: Service stand-in

  Scenario: Runs are counted by request key
    Given a service stand-in
    When the service stand-in gets a booking with key "k1"
    And the service stand-in gets a booking with key "k2"
    Then the service stand-in ran "k1, k2"

  Scenario: A call may run and lose its answer
    Given a service stand-in
    And the service stand-in drops the next answer
    When the service stand-in gets a booking with key "k1"
    Then the service stand-in gave no answer
    And the service stand-in ran "k1"

  Scenario Outline: Refused calls do not run
    Given a service stand-in
    And the service stand-in is "<state>"
    When the service stand-in gets a booking with key "k1"
    Then the service stand-in answered 503
    And the service stand-in ran ""

    Examples:
      | state   |
      | leaving |
      | failing |

  Scenario: A service stand-in lists itself at the platform
    Given a service stand-in that knows the platform
    Then the platform of the service stand-in lists it
