@link
Feature: TCP proxy of the stand-ins

  Scenario: A one-way connection passes on neither the bytes nor the end of its upstream
    Given a link to a server that answers and then ends the connection by a close
    When the link drops the bytes of its upstream and a client sends a request
    Then within 300 ms the client receives nothing and its connection stays open

  Scenario: The upstream of a connection that has gone silent does not learn that the client has closed it
    Given a link to a server that keeps connections open
    When a client sends a request through the link, which then goes silent
    Then no connection to the upstream is half-open
    When the client closes its connection
    Then the connection to the upstream is half-open

  Scenario Outline: The way in which the upstream ends a connection is passed on
    Given a link to a server that answers and then ends the connection by a <by>
    When a client sends a request through the link
    Then the client receives the answer, and its connection is ended by a <by>

    Examples:
      | by    |
      | close |
      | reset |

  Scenario: A link keeps back the bytes of one address, and passes them on once it is open again
    Given a link to a server that answers and then ends the connection by a close
    When the link keeps back the bytes of 127.0.0.3 and a client there sends a request
    Then within 300 ms the client receives nothing and its connection stays open
    And a client at 127.0.0.4 receives the answer
    When the link is open again to 127.0.0.3
    Then the client receives the answer, and its connection is ended by a close

  Scenario: A request whose client has left while the link kept it back never reaches the upstream
    Given a link to a server that answers and then ends the connection by a close
    When the link keeps back the bytes of 127.0.0.3 and a client there sends a request
    And the client closes its connection
    And 50 ms pass
    And the link is open again to 127.0.0.3
    Then within 300 ms the upstream gets no request

  Scenario: A link that refuses new connections of one address leaves open ones alone
    Given a link to a server that answers and keeps connections open
    When a client at 127.0.0.3 is connected and the link then refuses new connections of that address
    Then the client receives an answer to its request
    And a new connection from 127.0.0.3 is reset
