Feature: Signs that a member is leaving

  Background:
    Given a member "engine-1" at "10.0.0.1:80" in a list that lags

  Scenario: A sign holds although the list goes on to show the member live
    When it is seen leaving
    And 60 s pass with the list unchanged
    Then the member gets no new work

  Scenario: An entry at another address ends the sign
    When it is seen leaving
    And the list shows the member at "10.0.0.2:80"
    Then the member gets new work

  Scenario: A return to the list counts only after the member was gone for a while
    When it is seen leaving
    And the list shows the member gone for 1 s and then live
    Then the member gets no new work
    When the list shows the member gone for 6 s and then live
    Then the member gets new work

  Scenario: A sign that nothing confirms ends after its time
    When it is seen leaving
    And 301 s pass with the list unchanged
    Then the member gets new work

  Scenario: Signs that peers pass round do not live longer by it
    When it is seen leaving
    And the sign goes to a peer and back every 10 s for 301 s
    Then the member gets new work

  Scenario: A process that runs again contradicts the sign of the one before
    When its process 7 says that it leaves
    Then the member gets no new work
    When its process 8 says that it is there
    And its process 7 says that it leaves
    Then the member gets new work
