Feature: Slots over real connections

  Scenario: A slot is granted and released over the network
    Given 2 slot owners on loopback and a holder on the network
    When the network slot holder asks for 3 slots
    Then the network slot holder is granted 2 slots and waits for 1
    When the network slot holder releases 1 slot
    Then the network slot holder is granted 3 slots and waits for 0

  Scenario: A connection to an owner goes silent while new ones work
    Given 2 slot owners on loopback and a holder on the network
    When the network slot holder asks for 1 slot
    Then the network slot holder is granted 1 slots and waits for 0
    When the connections of the network slot holder go silent for good
    And the network slot holder asks for 1 slot
    Then the network slot holder is granted 2 slots and waits for 0

  Scenario: An owner's process ends while a request waits there
    Given 2 slot owners on loopback and a holder on the network
    When the network slot holder asks for 3 slots
    Then the network slot holder is granted 2 slots and waits for 1
    When the owner's server is closed
    And the network slot holder releases 2 slots
    Then the network slot holder is granted 3 slots and waits for 0
