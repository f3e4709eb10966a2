Feature: Reading the bodies of requests
  On real connections, with the clock of the memory budget in virtual time. Sizes in KiB.

  Background:
    Given a server that reads bodies of at most 4096 KiB in a budget of 8192 KiB

  Scenario: A whole body of the largest size in small chunks is read
    When a body of 4096 KiB is sent in chunks of 1000 bytes
    Then its body is read whole

  Scenario: Chunks of one byte cost as much as their bytes
    When a body of 256 KiB is sent in chunks of 1 byte and stops short of its end
    Then all 256 KiB of it have been read
    And at most 512 KiB of the budget are in use by bodies

  Scenario: An announced length takes no memory
    When a body with a length of 4096 KiB is announced and 1 KiB of it is sent
    Then all 1 KiB of it have been read
    And at most 64 KiB of the budget are in use by bodies

  Scenario: An announced length over the limit is refused at once
    When a body with a length of 4097 KiB is announced and 1 KiB of it is sent
    Then its body is refused as "bodyTooLarge"

  Scenario: A body in chunks is refused when it exceeds the limit
    When a body of 4097 KiB is sent in chunks of 60000 bytes
    Then its body is refused as "bodyTooLarge"
    And no memory is in use by bodies

  Scenario: A body that stops short is refused when its caller has left
    Given bodies have to be whole within 100 ms
    When a body with a length of 8 KiB is announced and 1 KiB of it is sent
    Then its body is refused as "bodyTimeout"
    And no memory is in use by bodies

  # Longer than the timers of Node.js, which would be over at once.
  Scenario: A body whose caller waits for months is read
    Given bodies have to be whole within 9000000000 ms
    When a body with a length of 8 KiB is announced and 1 KiB of it is sent
    And all 1 KiB of it have been read
    And 100 ms go by
    And the rest of the first body is sent
    Then its body is read whole

  Scenario: A caller that breaks off is not waited for
    When a body with a length of 8 KiB is announced and 1 KiB of it is sent
    And its caller closes the connection
    Then its body is refused as "badRequest"
    And no memory is in use by bodies

  Scenario: Bodies beyond the budget are refused while the others go on
    When a body with a length of 4000 KiB is announced and 3000 KiB of it is sent
    And all 3000 KiB of it have been read
    And another body with a length of 4000 KiB is announced and 4000 KiB of it is sent
    Then the other body is refused as "overloaded"
    When the rest of the first body is sent
    Then its body is read whole

  Scenario: Bodies that have stopped short give way
    When a body with a length of 4000 KiB is announced and 3900 KiB of it is sent
    And all 3900 KiB of it have been read
    And 600 ms pass for the bodies
    And another body with a length of 4000 KiB is announced and 4000 KiB of it is sent
    Then the other body is read whole
    And its body is refused as "overloaded"

  Scenario: A connection that stays open does not keep the body of its latest request
    When a body of 4096 KiB is sent in chunks of 60000 bytes
    Then its body is read whole
    And its memory is free although the connection is open
