Feature: Connections that are not established yet

  Scenario: A request on a connection that is being established fails at once, without having been sent
    Given a server that counts its requests
    When a request is sent there, and connections that are not established yet are dropped
    Then the request fails within 100 ms without having been sent
    And the server got no request

  Scenario: An established connection is kept
    Given a server that counts its requests
    When a request is answered there, and connections that are not established yet are dropped
    Then the connection can carry another request
