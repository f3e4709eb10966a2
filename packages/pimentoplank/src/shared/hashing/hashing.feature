Feature: Rendezvous hashing

  Scenario: Removing a node moves only the keys that it came first for
    Given 8 nodes ranked for 500 keys
    When one node is removed
    Then only the keys that had it first change their first node
