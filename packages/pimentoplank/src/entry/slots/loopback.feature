Feature: Slots over real connections

  Scenario: A slot is granted and given back over the network
    Given 2 slot homes on loopback and a holder on the network
    When the network slot holder asks for 3 slots
    Then the network slot holder is granted 2 slots and waits for 1
    When the network slot holder gives 1 slot back
    Then the network slot holder is granted 3 slots and waits for 0

  Scenario: A connection to a home goes silent while new ones work
    Given 2 slot homes on loopback and a holder on the network
    When the network slot holder asks for 1 slot
    Then the network slot holder is granted 1 slots and waits for 0
    When the connections of the network slot holder go silent for good
    And the network slot holder asks for 1 slot
    Then the network slot holder is granted 2 slots and waits for 0

  Scenario: A home's process ends while it holds a waiting request
    Given 2 slot homes on loopback and a holder on the network
    When the network slot holder asks for 3 slots
    Then the network slot holder is granted 2 slots and waits for 1
    When the home's server is gone
    And the network slot holder gives 2 slots back
    Then the network slot holder is granted 3 slots and waits for 0
