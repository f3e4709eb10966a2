Feature: Slots of targets

  Scenario: Live requests beyond the limit wait and follow in order of deadline
    Given a slot rig of 1 home and 1 target with 2 slots
    When slot holder "a" asks for 2 live slots
    And slot holder "a" asks for 1 live slot with 9000 ms left
    And slot holder "b" asks for 1 live slot with 5000 ms left
    Then slot holder "a" holds 2 live slots
    And slot holder "a" waits for 1 live slot
    And slot holder "b" waits for 1 live slot
    When slot holder "a" releases 1 live slot
    Then slot holder "b" holds 1 live slot
    And slot holder "a" waits for 1 live slot

  Scenario: A live burst takes the slots that batch work holds
    Given a slot rig of 1 home and 1 target with 4 slots
    When slot holder "a" asks for 6 batch slots
    Then slot holder "a" holds 3 batch slots
    When slot holder "b" asks for 4 live slots
    Then slot holder "b" holds 1 live slot
    And 3 batch slots of slot holder "a" are revoked
    When slot holder "a" releases 3 batch slots
    Then slot holder "b" holds 4 live slots
    And slot holder "a" holds 0 batch slots
    And slot holder "a" waits for 3 batch slots
