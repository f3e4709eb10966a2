@entryBench @entryStopping
Feature: The graceful shutdown of an entry instance

  Scenario: A shutdown interrupts no request
    Given a stopping bench whose directory responses are cached for 300 ms and whose stop may take 20000 ms
    And a stream of 40 tokens runs through the stopping entry and is paused
    When the entry gets a stop signal
    Then the stopping entry is no longer in its own directory
    And the stopping entry still serves a new request and asks to close the connection
    When the stopping entry refuses new requests
    Then a new request gets 503 addressMoved with outcome not_run and a retry delay
    When the paused stream of the stopping entry resumes
    Then the stream through the stopping entry is complete
    And the stop of the entry ends

  Scenario: A shutdown ends within its time limit
    Given a stopping bench whose directory responses are cached for 1 ms and whose stop may take 300 ms
    And a stream of 40 tokens runs through the stopping entry and is paused
    When the entry gets a stop signal
    Then the stop of the entry ends

  Scenario: A shutdown records pending outcomes
    Given a stopping bench whose directory responses are cached for 1 ms and whose stop may take 20000 ms
    When a booking runs through the stopping entry while the platform is unavailable
    And the entry gets a stop signal
    And the stopping entry refuses new requests
    And the platform of the stopping entry is available again
    Then the stop of the entry ends
    And the outcome of the booking is recorded

  Scenario: A shutdown waits for a run whose caller has disconnected
    Given a stopping bench whose directory responses are cached for 1 ms and whose stop may take 20000 ms
    When a booking whose caller disconnects runs through the stopping entry
    And the entry gets a stop signal
    And the stopping entry refuses new requests
    And the paused booking of the stopping entry resumes
    Then the stop of the entry ends
    And the outcome of the booking is recorded

  Scenario: A caller that stops reading is disconnected, and its slot is released
    Given the entry bench with 1 engine and settings {"streams":{"callerStallTimeoutMs":300}}
    And a plain service of the entry whose response never ends
    When a caller of the entry stops reading its response
    Then the entry disconnects that caller
    And the entry holds no slot any more

  Scenario: A truncated response of a service is never presented as complete
    Given the entry bench with 1 engine
    And a plain service of the entry that truncates its response
    When a caller of the entry calls that service
    Then the caller of the entry sees a broken connection
    And the entry holds no slot any more
