Feature: Slots for streams that go on at one software version

  Scenario: A begun stream gets a slot before new requests, and only at its version
    Given targets "a v1" and "b v2" with 1 slot each, which are all in use
    When a new request waits for a slot, and then a stream of version "v1"
    And the slot of "b" becomes free
    Then the new request gets the slot of "b"
    When another new request waits for a slot
    And the slot of "a" becomes free
    Then the stream gets the slot of "a"

  Scenario: New requests leave the slots of a version to a stream that waits for it
    Given targets "a v1" and "b v2" with 1 slot each, which are all in use
    When a stream of version "v1" waits for a slot
    And the slot of "a" becomes free, but is not assigned yet
    Then a new request gets no slot
    When free slots are assigned
    Then the stream gets the slot of "a"

  Scenario: New requests use a target whose entry is out of date while a stream waits for its version
    Given targets "a v1" and "b v1" with 1 slot each, which are all in use
    And target "c v2" with 1 slot, which is in use
    And the entry of "a" is out of date
    When a stream of version "v1" waits for a slot
    And the slot of "a" becomes free
    Then a new request gets a slot
    When the slot of "b" becomes free
    Then the stream gets the slot of "b"

  Scenario: A begun stream is refused once no target of its version is left
    Given targets "a v1" and "b v2" with 1 slot each, which are all in use
    When a stream of version "v1" waits for a slot
    And target "a" leaves
    Then the stream is refused as "noTarget"

  Scenario: A begun stream is never refused for a full queue
    Given targets "a v1" and "b v2" with 1 slot each, which are all in use
    When 50 streams of version "v1" look for a slot
    Then all of them wait, while a new request is refused as "queueFull"

  # Guards against requests that are refused for a queue at another service.
  Scenario: Requests that wait for the slots of another service don't count in the queue of a request
    Given targets "a v1" and "b v2" with 1 slot each, which are all in use
    When 50 requests wait for the slots of another service
    And a request that was refused before looks for a slot
    Then it waits until the slot of "a" becomes free
