Feature: Service stand-in

  Scenario: Runs are recorded by request key
    Given a service stand-in
    When the service stand-in gets a booking with key "k1"
    And the service stand-in gets a booking with key "k2"
    Then the service stand-in ran "k1, k2"

  Scenario: A call may run and lose its response
    Given a service stand-in
    And the service stand-in drops the next response
    When the service stand-in gets a booking with key "k1"
    Then the service stand-in gave no response
    And the service stand-in ran "k1"

  Scenario Outline: Refused calls do not run
    Given a service stand-in
    And the service stand-in is "<state>"
    When the service stand-in gets a booking with key "k1"
    Then the service stand-in responded with 503
    And the service stand-in ran ""

    Examples:
      | state   |
      | leaving |
      | failing |

  Scenario: A service stand-in registers itself with the platform
    Given a service stand-in with a platform
    Then the platform of the service stand-in lists it
