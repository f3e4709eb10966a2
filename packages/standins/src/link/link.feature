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
