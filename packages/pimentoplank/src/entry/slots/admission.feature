Feature: Admission to the slots of a target

  Scenario: Live requests above the limit wait and are granted in order of deadline
    Given a slot rig of 1 owner and 1 target with 2 slots
    When slot holder "a" asks for 2 live slots
    And slot holder "a" asks for 1 live slot with 9000 ms left
    And slot holder "b" asks for 1 live slot with 5000 ms left
    Then slot holder "a" holds 2 live slots
    And slot holder "a" waits for 1 live slot
    And slot holder "b" waits for 1 live slot
    When slot holder "a" releases 1 live slot
    Then slot holder "b" holds 1 live slot
    And slot holder "a" waits for 1 live slot

  Scenario: Between accounts with equal shares, the earlier deadline is granted first
    Given a slot rig of 1 owner and 1 target with 1 slot
    When slot holder "x" asks for 1 live slot
    And slot holder "a" asks for 1 live slot as account "late" with 90000 ms left
    And slot holder "b" asks for 1 live slot as account "early" with 50000 ms left
    And slot holder "x" releases 1 live slot
    Then slot holder "b" holds 1 live slot

  Scenario: A live burst preempts batch work
    Given a slot rig of 1 owner and 1 target with 4 slots
    When slot holder "a" asks for 6 batch slots
    Then slot holder "a" holds 3 batch slots
    When slot holder "b" asks for 4 live slots
    Then slot holder "b" holds 1 live slot
    And 3 batch slots of slot holder "a" are revoked
    When slot holder "a" releases 1 batch slot
    Then slot holder "b" holds 2 live slots
    When slot holder "a" releases 2 batch slots
    Then slot holder "b" holds 4 live slots
    And slot holder "a" holds 0 batch slots
    And slot holder "a" waits for 3 batch slots

  Scenario: The batch reserve is restored without revoking more batch slots than needed
    Given a slot rig of 1 owner and 1 target with 4 slots
    When slot holder "a" asks for 3 batch slots
    And slot holder "b" asks for 1 live slot
    Then slot holder "b" holds 1 live slot
    And 1 batch slot of slot holder "a" is revoked
    When the slot clock advances 200 ms
    Then 1 batch slot of slot holder "a" is revoked

  Scenario: A later live request is granted before a full batch queue
    Given a slot rig of 1 owner and 1 target with 2 slots
    When slot holder "a" asks for 2 live slots
    And slot holder "a" asks for 50 batch slots
    And slot holder "b" asks for 2 live slots
    And slot holder "a" releases 2 live slots
    Then slot holder "b" holds 2 live slots
    And slot holder "a" holds 0 batch slots

  Scenario: An account with ten times the requests does not starve another
    Given a slot rig of 1 owner and 1 target with 2 slots
    When slot holder "a" asks for 40 live slots as account "crowd" with 50000 ms left
    And slot holder "b" asks for 4 live slots as account "small" with 90000 ms left
    And the earliest requested live slot that is held is released, 9 times
    Then account "small" has had 4 live slots

  Scenario: An account with twice the weight gets twice the slots
    Given a slot rig of 1 owner and 1 target with 1 slot
    When slot holder "x" asks for 1 live slot
    And slot holder "a" asks for 20 live slots as account "double" with weight 2
    And slot holder "b" asks for 20 live slots as account "single" with weight 1
    And slot holder "x" releases 1 live slot
    And the earliest requested live slot that is held is released, 15 times
    Then account "double" has had 10 to 12 live slots

  Scenario: A full queue evicts the account with the most waiting requests
    Given a slot rig of 1 owner and 1 target with 1 slot and scheduler settings
      | maxWaiting | 4 |
      | runShare   | 0 |
      | initialRunMs | 1 |
    When slot holder "a" asks for 5 live slots as account "crowd"
    Then slot holder "a" waits for 4 live slots
    When slot holder "b" asks for 1 live slot as account "small"
    Then slot holder "b" waits for 1 live slot
    And 1 live request of slot holder "a" is refused as "queueFull"
    When slot holder "a" asks for 1 live slot as account "crowd"
    Then 2 live requests of slot holder "a" are refused as "queueFull"

  Scenario: A request that can't meet its deadline is refused at once, with the time that the queue takes to drain
    Given a slot rig of 1 owner and 1 target with 2 slots
    When live work of 2000 ms has been measured by slot holder "a" 4 times
    And slot holder "a" asks for 6 live slots with 60000 ms left
    And slot holder "b" asks for 1 live slot with 2500 ms left
    Then 1 live request of slot holder "b" is refused as "deadlineUnreachable"
    And slot holder "b" is told to retry after 3000 to 6000 ms
    And no time has passed for slot holder "b"

  Scenario: A waiting request that can no longer meet its deadline is refused before it
    Given a slot rig of 1 owner and 1 target with 2 slots
    When slot holder "a" asks for 2 live slots
    And slot holder "b" asks for 1 live slot with 4000 ms left
    Then slot holder "b" waits for 1 live slot
    When the slot clock advances 2600 ms
    Then 1 live request of slot holder "b" is refused as "deadlineUnreachable"

  Scenario: A begun stream waits in a full queue and is not evicted from it
    Given a slot rig of 1 owner and 1 target with 1 slot and scheduler settings
      | maxWaiting   | 2 |
      | runShare     | 0 |
      | initialRunMs | 1 |
    When slot holder "a" asks for 3 live slots
    And slot holder "b" asks for 2 live slots with 30000 ms left for a begun stream
    Then slot holder "b" waits for 2 live slots
    And slot holder "a" waits for 2 live slots
    When slot holder "c" asks for 1 live slot as account "small"
    Then slot holder "b" waits for 2 live slots
    And 1 live request of slot holder "a" is refused as "queueFull"

  Scenario: A begun stream waits until its deadline, however long the queue is expected to take
    Given a slot rig of 1 owner and 1 target with 2 slots
    When live work of 2000 ms has been measured by slot holder "a" 4 times
    And slot holder "a" asks for 6 live slots with 60000 ms left
    And slot holder "b" asks for 1 live slot with 2500 ms left for a begun stream
    Then slot holder "b" waits for 1 live slot
    When the slot clock advances 2400 ms
    Then slot holder "b" waits for 1 live slot
    When slot holder "a" releases 2 live slots
    Then slot holder "b" holds 1 live slot

  Scenario: A repeated release changes nothing
    Given a slot rig of 1 owner and 1 target with 2 slots
    When slot holder "a" asks for 2 live slots
    And slot holder "b" asks for 3 live slots
    And slot holder "a" releases 1 live slot 3 times over
    Then slot holder "b" holds 1 live slot
    And the owners count 2 slots in use

  Scenario: An owner ignores the release of a ticket without a grant
    Given a slot rig of 1 owner and 1 target with 2 slots
    When slot holder "a" asks for 1 live slot
    And a raw slot stream asks for a slot as ticket 7 and releases tickets 7, 7 and 9
    Then the owners count 1 slot in use
    And the owner has counted 2 late releases

  Scenario: A cancelled request leaves the queue
    Given a slot rig of 1 owner and 1 target with 1 slot
    When slot holder "a" asks for 1 live slot
    And slot holder "b" asks for 1 live slot and cancels
    And slot holder "c" asks for 1 live slot
    And slot holder "a" releases 1 live slot
    Then slot holder "b" holds 0 live slots
    And slot holder "c" holds 1 live slot

  Scenario: The limit of a target shrinks while latencies miss the goals, and grows again under load
    Given a slot rig of 1 owner and 1 target with 8 slots
    When live work with a first token after 900 ms has been reported by slot holder "a" 40 times
    Then the limit of the target is at most 6
    When 8 live slots are kept busy by slot holder "a" with a first token after 100 ms, 80 times
    Then the limit of the target is at least 8
