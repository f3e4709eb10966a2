Feature: Time bound for establishing connections

  Scenario: A connection that is not established is given up at its timeout
    Given a server that accepts no more connections
    When a connector with a timeout of 250 ms connects to it 3 times
    Then each attempt fails as a timeout after 250 to 400 ms
