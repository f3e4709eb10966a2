Feature: Rendezvous hashing

  Scenario: Removing a node only moves the keys for which it ranked first
    Given 8 nodes ranked for 500 keys
    When one node is removed
    Then the first node changes only for the keys for which the removed node ranked first
