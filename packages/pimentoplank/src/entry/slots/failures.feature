Feature: Failures of processes and connections that use slots

  Scenario: An owner is killed while live requests wait
    Given a slot rig of 3 owners and 1 target with 4 slots
    When slot holder "a" asks for 4 live slots
    And slot holder "b" asks for 1 live slot
    Then slot holder "b" waits for 1 live slot
    When the owner of the target is killed
    And slot holder "a" releases 3 live slots
    Then slot holder "b" holds 1 live slot
    And the owners count 2 slots in use
    And slot holder "b" has counted retries for a lost owner

  Scenario: An owner goes silent while live requests wait
    Given a slot rig of 3 owners and 1 target with 4 slots
    When slot holder "a" asks for 1 live slot
    And the owner of the target goes silent
    And slot holder "b" asks for 1 live slot
    Then slot holder "b" waits for 1 live slot
    When the slot clock advances 600 ms
    Then slot holder "b" holds 1 live slot

  Scenario: The successor of a lost owner collects reported grants before it grants the full limit
    Given a slot rig of 3 owners and 1 target with 4 slots
    When slot holder "a" asks for 3 live slots
    And the connections of slot holder "a" go silent
    And the owner of the target is killed
    And the owner of the target leaves the membership list
    And slot holder "b" asks for 4 live slots
    Then slot holder "b" holds 2 live slots
    When the slot clock advances 1100 ms
    Then slot holder "b" holds 4 live slots

  Scenario: A holder is killed while it holds slots
    Given a slot rig of 1 owner and 1 target with 2 slots
    When slot holder "a" asks for 2 live slots
    And slot holder "b" asks for 1 live slot
    And slot holder "a" is killed
    Then slot holder "b" waits for 1 live slot
    When the slot clock advances 2100 ms
    Then slot holder "b" holds 1 live slot

  Scenario: A holder freezes while it holds slots
    Given a slot rig of 1 owner and 1 target with 2 slots
    When slot holder "a" asks for 2 live slots
    And slot holder "b" asks for 1 live slot with 60000 ms left
    And the connections of slot holder "a" go silent
    And the slot clock advances 10000 ms
    Then slot holder "b" waits for 1 live slot
    When the slot clock advances 8000 ms
    Then slot holder "b" holds 1 live slot

  Scenario: A holder whose connection breaks keeps its slots
    Given a slot rig of 1 owner and 1 target with 2 slots
    When slot holder "a" asks for 2 live slots
    And slot holder "b" asks for 1 live slot with 60000 ms left
    And the connections of slot holder "a" break
    And the slot clock advances 16000 ms
    Then slot holder "b" waits for 1 live slot
    And the owners count 2 slots in use
    When slot holder "a" releases 1 live slot
    Then slot holder "b" holds 1 live slot

  Scenario: An owner hands over at a planned stop
    Given a slot rig of 3 owners and 1 target with 4 slots
    When slot holder "b" asks for 1 live slot
    And slot holder "b" releases 1 live slot
    And slot holder "a" asks for 4 live slots
    And slot holder "b" asks for 2 live slots
    And the connections of slot holder "a" are slow
    And the owner of the target hands over
    Then slot holder "b" waits for 2 live slots
    And the owners count 4 slots in use
    When slot holder "a" releases 4 live slots
    And the slot clock advances 100 ms
    Then slot holder "b" holds 2 live slots
    And no request of a slot holder has been refused

  Scenario: Two instances that both act as owner exceed the limit by no more than the partial share
    Given a slot rig of 3 owners and 1 target with 4 slots
    When slot holder "a" asks for 4 live slots
    And slot holder "b" no longer sees the owner of the target
    And slot holder "b" asks for 4 live slots
    Then slot holder "a" holds 4 live slots
    And slot holder "b" holds 2 live slots
    When slot holder "b" asks for 2 batch slots
    And slot holder "b" releases 2 live slots
    And slot holder "b" releases 2 live slots
    Then slot holder "b" holds 0 live slots
    And slot holder "b" holds 0 batch slots

  Scenario: A failing target is ejected and readmitted by a single probe
    Given a slot rig of 1 owner and 2 targets with 4 slots
    When work on target 0 fails 3 times for slot holder "a"
    And slot holder "a" asks for 2 live slots
    Then slot holder "a" holds 0 live slots on target 0
    And slot holder "a" holds 2 live slots on target 1
    When the slot clock advances 600 ms
    And slot holder "a" asks for 2 live slots preferring target 0
    Then slot holder "a" holds 1 live slot on target 0
    When slot holder "a" releases its live slot on target 0
    And the slot clock advances 10 ms
    And slot holder "a" asks for 2 live slots preferring target 0
    Then slot holder "a" holds 2 live slots on target 0

  Scenario Outline: Work that ends as <result> <effect> its target
    Given a slot rig of 1 owner and 2 targets with 4 slots
    When work on target 0 ends as <result> 3 times for slot holder "a"
    And slot holder "a" asks for 2 live slots preferring target 0
    Then slot holder "a" holds <slots> live slots on target 0

    Examples:
      | result  | effect         | slots |
      | notRun  | ejects         | 0     |
      | revoked | does not eject | 2     |

  Scenario: Targets are never ejected all at once
    Given a slot rig of 1 owner and 2 targets with 4 slots
    When work on target 0 fails 3 times for slot holder "a"
    And work on target 1 fails 3 times for slot holder "a"
    And slot holder "a" asks for 1 live slot
    Then slot holder "a" holds 1 live slot

  Scenario: A leaving target gets no new work
    Given a slot rig of 1 owner and 2 targets with 1 slot
    When slot holder "a" asks for 1 live slot preferring target 0
    And slot holder "b" asks for 1 live slot preferring target 0 and no other
    Then slot holder "b" waits for 1 live slot
    When target 0 leaves the membership list
    And slot holder "a" releases 1 live slot
    Then slot holder "b" holds 0 live slots
    And 1 live request of slot holder "b" is refused as "noTarget"
    When slot holder "a" asks for 1 live slot preferring target 0
    Then slot holder "a" holds 1 live slot on target 1

  Scenario: A leaving target gets no new work from a holder with a stale membership list
    Given a slot rig of 1 owner and 2 targets with 1 slot
    When slot holder "a" asks for 1 live slot
    And slot holder "a" releases 1 live slot
    And only the owners see that target 0 leaves
    And slot holder "a" asks for 1 live slot preferring target 0
    Then slot holder "a" holds 1 live slot on target 1

  Scenario: A holder that learns from an answer that a target leaves stops using it
    Given a slot rig of 1 owner and 2 targets with 1 slot
    When slot holder "a" learns from an answer that target 0 leaves
    And slot holder "a" asks for 1 live slot preferring target 0
    Then slot holder "a" holds 1 live slot on target 1

  Scenario: No owner can be reached
    Given a slot rig of 3 owners and 1 target with 4 slots
    When every owner is killed
    And slot holder "a" asks for 1 live slot
    Then 1 live request of slot holder "a" is refused as "noTarget"
    And slot holder "a" is told to retry after 100 to 5000 ms

  Scenario: Requests that come before any owner is listed wait for one
    Given a slot rig of 1 owner and 1 target with 4 slots, first owner not yet listed
    When slot holder "a" asks for 1 live slot
    And the slot clock advances 200 ms
    Then slot holder "a" holds 0 live slots
    And no request of a slot holder has been refused
    When the first owner joins the membership list
    And the slot clock advances 100 ms
    Then slot holder "a" holds 1 live slot

  Scenario: A new instance becomes the owner of a target while requests wait
    Given a slot rig of 3 owners and 1 target with 4 slots, first owner not yet listed
    When slot holder "a" asks for 4 live slots
    And slot holder "b" asks for 1 live slot
    And the first owner joins the membership list
    Then slot holder "b" waits for 1 live slot
    And the first owner counts 4 slots in use
    When slot holder "a" releases 3 live slots
    Then slot holder "b" holds 1 live slot
    And no request of a slot holder has been refused
