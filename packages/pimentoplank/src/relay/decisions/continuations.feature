Feature: Requests that a target has run, under overload
  Load pattern: all slots are in use while targets break off or fall silent, so that begun answers need slots elsewhere.

  Scenario: A request that has run waits where a new one is refused
    Given 16 slots, 40 requests in the queue and a mean run time of 1000 ms
    Then a new request is refused
    And a request that has run waits

  Scenario: No request waits for a service without targets
    Given 0 slots, 0 requests in the queue and a mean run time of 1000 ms
    Then a new request is refused
    And a request that has run is refused

  Scenario: A request that has run gets the next free slot
    Given requests that wait: a late one, a new one, one that has run
    Then they are served in the order: one that has run, a new one, a late one

  Scenario: The reserve of free slots doesn't hold back a request that has run
    Given one target with 16 slots of which 15 are in use
    Then a new request from the queue is not placed
    And a request that has run is placed from the queue
