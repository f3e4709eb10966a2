Feature: Notices that a member is leaving

  Background:
    Given a member "engine-1" at "10.0.0.1:80" in a list that is out of date

  Scenario: A notice applies although the list still shows the member live
    When a leaving notice for it is added
    And 60 s pass with the list unchanged
    Then the member gets no new work

  Scenario: An entry at another address supersedes the notice
    When a leaving notice for it is added
    And the list shows the member at "10.0.0.2:80"
    Then the member gets new work

  Scenario: A return to the list counts only after the member was missing for a while
    When a leaving notice for it is added
    And the list lacks the member for 1 s and then shows it live
    Then the member gets no new work
    When the list lacks the member for 6 s and then shows it live
    Then the member gets new work

  Scenario: A notice that is not renewed expires
    When a leaving notice for it is added
    And 301 s pass with the list unchanged
    Then the member gets new work

  Scenario: Exchange between peers does not extend the lifetime of a notice
    When a leaving notice for it is added
    And the notice is exchanged with a peer every 10 s for 301 s
    Then the member gets new work

  Scenario: A restarted process refutes the notice of its predecessor
    When its process 7 says that it leaves
    Then the member gets no new work
    When its process 8 says that it is there
    And its process 7 says that it leaves
    Then the member gets new work

  Scenario: The software version of a target reaches the peers
    When its list entry with software version "2" is sent to a peer
    Then the peer knows its software version "2"
