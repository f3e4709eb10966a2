Feature: Refusals of requests that are not read to their end

  Scenario: A caller that sends its whole body before it reads gets the refusal
    Given a server that refuses requests and reads on for 8388608 bytes and 60000 ms
    When a caller sends a body of 5000000 bytes before it reads
    Then it has read the refusal
    And its connection was closed in order

  Scenario: A caller that sends without end is cut off
    Given a server that refuses requests and reads on for 300000 bytes and 60000 ms
    When a caller sends a body without end
    Then its connection is closed
    And the server has read at most 500000 bytes of it

  Scenario: A caller that stops short is cut off
    Given a server that refuses requests and reads on for 300000 bytes and 100 ms
    When a caller announces a body and stops short
    Then its connection is closed
    And it has read the refusal

  Scenario: The connection of a caller whose request has been read to its end is closed at once
    Given a server that reads requests, then refuses them and reads on for 60000 ms
    When a caller sends a body of 1000 bytes before it reads
    Then it has read the refusal
    And its connection was closed in order
