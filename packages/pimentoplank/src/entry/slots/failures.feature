Feature: Slots when processes and connections fail

  Scenario: A home is killed while live requests wait
    Given a slot rig of 3 homes and 1 target with 4 slots
    When slot holder "a" asks for 4 live slots
    And slot holder "b" asks for 1 live slot
    Then slot holder "b" waits for 1 live slot
    When the home of the target is killed
    And slot holder "a" releases 3 live slots
    Then slot holder "b" holds 1 live slot
    And the homes count 2 slots in use
    And slot holder "b" has counted retries for a lost home

  Scenario: A home goes silent while live requests wait
    Given a slot rig of 3 homes and 1 target with 4 slots
    When slot holder "a" asks for 1 live slot
    And the home of the target goes silent
    And slot holder "b" asks for 1 live slot
    Then slot holder "b" waits for 1 live slot
    When the slot clock moves 600 ms
    Then slot holder "b" holds 1 live slot

  Scenario: A lost home's successor waits for reports before it grants the whole limit
    Given a slot rig of 3 homes and 1 target with 4 slots
    When slot holder "a" asks for 3 live slots
    And the connections of slot holder "a" go silent
    And the home of the target is killed
    And the home of the target leaves the list
    And slot holder "b" asks for 4 live slots
    Then slot holder "b" holds 2 live slots
    When the slot clock moves 1100 ms
    Then slot holder "b" holds 4 live slots

  Scenario: A holder is killed while it holds slots
    Given a slot rig of 1 home and 1 target with 2 slots
    When slot holder "a" asks for 2 live slots
    And slot holder "b" asks for 1 live slot
    And slot holder "a" is killed
    Then slot holder "b" waits for 1 live slot
    When the slot clock moves 2100 ms
    Then slot holder "b" holds 1 live slot

  Scenario: A holder freezes while it holds slots
    Given a slot rig of 1 home and 1 target with 2 slots
    When slot holder "a" asks for 2 live slots
    And slot holder "b" asks for 1 live slot with 60000 ms left
    And the connections of slot holder "a" go silent
    And the slot clock moves 10000 ms
    Then slot holder "b" waits for 1 live slot
    When the slot clock moves 8000 ms
    Then slot holder "b" holds 1 live slot

  Scenario: A holder whose connection breaks keeps its slots
    Given a slot rig of 1 home and 1 target with 2 slots
    When slot holder "a" asks for 2 live slots
    And slot holder "b" asks for 1 live slot with 60000 ms left
    And the connections of slot holder "a" break
    And the slot clock moves 16000 ms
    Then slot holder "b" waits for 1 live slot
    And the homes count 2 slots in use
    When slot holder "a" releases 1 live slot
    Then slot holder "b" holds 1 live slot

  Scenario: A home hands over at a planned stop
    Given a slot rig of 3 homes and 1 target with 4 slots
    When slot holder "b" asks for 1 live slot
    And slot holder "b" releases 1 live slot
    And slot holder "a" asks for 4 live slots
    And slot holder "b" asks for 2 live slots
    And the connections of slot holder "a" are slow
    And the home of the target hands over
    Then slot holder "b" waits for 2 live slots
    And the homes count 4 slots in use
    When slot holder "a" releases 4 live slots
    And the slot clock moves 100 ms
    Then slot holder "b" holds 2 live slots
    And no request of a slot holder has been refused

  Scenario: Two homes that both believe in their turn grant no more than the announced share on top
    Given a slot rig of 3 homes and 1 target with 4 slots
    When slot holder "a" asks for 4 live slots
    And slot holder "b" no longer sees the home of the target
    And slot holder "b" asks for 4 live slots
    Then slot holder "a" holds 4 live slots
    And slot holder "b" holds 2 live slots
    When slot holder "b" asks for 2 batch slots
    And slot holder "b" releases 2 live slots
    And slot holder "b" releases 2 live slots
    Then slot holder "b" holds 0 live slots
    And slot holder "b" holds 0 batch slots

  Scenario: A target that fails is ejected and comes back by a single probe
    Given a slot rig of 1 home and 2 targets with 4 slots
    When work on target 0 fails 3 times for slot holder "a"
    And slot holder "a" asks for 2 live slots
    Then slot holder "a" holds 0 live slots on target 0
    And slot holder "a" holds 2 live slots on target 1
    When the slot clock moves 600 ms
    And slot holder "a" asks for 2 live slots preferring target 0
    Then slot holder "a" holds 1 live slot on target 0
    When slot holder "a" releases its live slot on target 0
    And the slot clock moves 10 ms
    And slot holder "a" asks for 2 live slots preferring target 0
    Then slot holder "a" holds 2 live slots on target 0

  Scenario: Targets are never ejected all at once
    Given a slot rig of 1 home and 2 targets with 4 slots
    When work on target 0 fails 3 times for slot holder "a"
    And work on target 1 fails 3 times for slot holder "a"
    And slot holder "a" asks for 1 live slot
    Then slot holder "a" holds 1 live slot

  Scenario: A target that leaves gets no new work
    Given a slot rig of 1 home and 2 targets with 1 slot
    When slot holder "a" asks for 1 live slot preferring target 0
    And slot holder "b" asks for 1 live slot preferring target 0 and no other
    Then slot holder "b" waits for 1 live slot
    When target 0 leaves the list
    And slot holder "a" releases 1 live slot
    Then slot holder "b" holds 0 live slots
    And 1 live request of slot holder "b" is refused as "noTarget"
    When slot holder "a" asks for 1 live slot preferring target 0
    Then slot holder "a" holds 1 live slot on target 1

  Scenario: A target that leaves gets no new work from a holder whose list lags
    Given a slot rig of 1 home and 2 targets with 1 slot
    When slot holder "a" asks for 1 live slot
    And slot holder "a" releases 1 live slot
    And the homes alone see that target 0 leaves
    And slot holder "a" asks for 1 live slot preferring target 0
    Then slot holder "a" holds 1 live slot on target 1

  Scenario: A holder's own sign that a target leaves is enough for it
    Given a slot rig of 1 home and 2 targets with 1 slot
    When slot holder "a" notes that target 0 leaves
    And slot holder "a" asks for 1 live slot preferring target 0
    Then slot holder "a" holds 1 live slot on target 1

  Scenario: No home can be reached
    Given a slot rig of 3 homes and 1 target with 4 slots
    When every home is killed
    And slot holder "a" asks for 1 live slot
    Then 1 live request of slot holder "a" is refused as "noTarget"
    And slot holder "a" is told to come back after 100 to 5000 ms

  Scenario: A new instance becomes the home of a target while requests wait
    Given a slot rig of 3 homes and 1 target with 4 slots, the first home not yet listed
    When slot holder "a" asks for 4 live slots
    And slot holder "b" asks for 1 live slot
    And the first home is listed
    Then slot holder "b" waits for 1 live slot
    And the first home counts 4 slots in use
    When slot holder "a" releases 3 live slots
    Then slot holder "b" holds 1 live slot
    And no request of a slot holder has been refused
