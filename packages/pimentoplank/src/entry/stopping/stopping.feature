@entryBench @entryStopping
Feature: The planned stop of an entry instance

  Scenario: A stop cuts off no request
    Given a stopping bench whose directory answers are kept for 300 ms and whose stop may take 20000 ms
    And a stream of 40 tokens runs through the stopping entry and is held
    When the entry is told to stop
    Then the stopping entry is no longer in its own directory
    And the stopping entry still answers a new request and asks to close the connection
    When the stopping entry refuses new requests
    Then a new request gets 503 addressMoved with outcome not_run and when to come back
    When the held stream of the stopping entry goes on
    Then the stream through the stopping entry is whole
    And the stop of the entry ends

  Scenario: A stop ends within its bound
    Given a stopping bench whose directory answers are kept for 1 ms and whose stop may take 300 ms
    And a stream of 40 tokens runs through the stopping entry and is held
    When the entry is told to stop
    Then the stop of the entry ends

  Scenario: A stop records the outcomes that it still owes
    Given a stopping bench whose directory answers are kept for 1 ms and whose stop may take 20000 ms
    When a booking runs through the stopping entry while the platform takes no outcome
    And the entry is told to stop
    And the stopping entry refuses new requests
    And the platform of the stopping entry comes back
    Then the stop of the entry ends
    And the outcome of the booking is recorded

  Scenario: A stop waits for a run whose caller has gone
    Given a stopping bench whose directory answers are kept for 1 ms and whose stop may take 20000 ms
    When a booking whose caller goes away runs through the stopping entry
    And the entry is told to stop
    And the stopping entry refuses new requests
    And the held booking of the stopping entry goes on
    Then the stop of the entry ends
    And the outcome of the booking is recorded

  Scenario: A caller that stops reading is cut off, and its slot is free again
    Given the entry bench with 1 engine and settings {"streams":{"callerStallTimeoutMs":300}}
    And a plain service of the entry whose answer never ends
    When a caller of the entry stops reading its answer
    Then the entry cuts that caller off
    And the entry holds no slot any more

  Scenario: An answer that its service cuts is never passed off as whole
    Given the entry bench with 1 engine
    And a plain service of the entry that cuts its answer
    When a caller of the entry asks that service
    Then the caller of the entry sees a broken connection
    And the entry holds no slot any more
