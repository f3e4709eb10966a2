@tunnelledExchange
Feature: Requests to targets through peers

  Scenario Outline: A request whose path fails <when> fails as <reason> and <run>
    Given an exchange with a target and a peer that reaches it, where paths go through the peer
    When a request is sent and the path fails <when>
    Then the request fails as <reason>
    And the request <run>
    And the paths were told of the peer: <outcome>

    Examples:
      | when                                                  | reason          | run           | outcome      |
      | since the peer is gone                                | peerUnreachable | has not run   | peerFailed   |
      | since the peer does not answer                        | peerUnreachable | has not run   | peerFailed   |
      | since the peer has no direct path                     | peerUnreachable | has not run   | peerFailed   |
      | since the target refuses connections of the peer      | connectFailed   | has not run   | targetFailed |
      | as the peer is lost after the request was written     | peerLost        | may have run  | connected    |
      | as the peer is lost within the body                   | peerLost        | may have run  | connected    |
      | as the target resets after the request was written    | broken          | may have run  | connected    |
      | as the target resets within the body                  | broken          | may have run  | connected    |

  Scenario: The answer to a request through a peer is whole, and the next request uses the same tunnel
    Given an exchange with a target and a peer that reaches it, where paths go through the peer
    When 2 requests are sent one after the other
    Then both are answered whole through the peer
    And the target has seen 1 connection

  Scenario: Tunnels are left once paths are direct again
    Given an exchange with a target and a peer that reaches it, where paths go through the peer
    When 1 request is sent
    And paths are direct
    And 1 request is sent
    Then the target has seen 2 connections
    And the peer carries 0 tunnels

  Scenario: Open direct connections that may hang are not used, and used again later
    Given an exchange with a target and a peer that reaches it, where paths are direct
    When 1 request is sent
    And direct connections may hang and paths go through the peer
    And 1 request is sent
    Then the target has seen 2 connections
    When direct connections are usable
    And 1 request is sent
    Then the target has seen 2 connections
    And 2 requests were answered directly

  Scenario: A request goes through a peer at once when the direct path fails before anything was written
    Given an exchange with a target and a peer that reaches it, where paths are direct until one fails
    When a request is sent while the instance can't connect to the target
    Then it is answered whole through the peer
    And the paths were told of a failed direct connection

  Scenario: A request goes on to the next peer when one refuses
    Given an exchange with a target and a peer that reaches it, where paths first go through a peer that is gone
    When 1 request is sent
    Then it is answered whole through the peer

  Scenario: A caller that leaves ends the connection between the peer and the target
    Given an exchange with a target and a peer that reaches it, where paths go through the peer
    When a request is sent and given up while the target works on it
    Then the target has no connection within 100 ms

  Scenario: A request that is given up while the connection between the peer and the target hangs does not reach the target later
    Given an exchange with a target and a peer that reaches it, where paths go through the peer
    And the target reads nothing from its connections for now
    When a request with a body of 200000 bytes is sent, and given up 200 ms later
    And the peer carries 0 tunnels
    And the target reads what has come
    Then the target has a part of the request only, and finds the connection reset

  Scenario Outline: What a failure says of a request holds whenever <what> while the request is sent on a <which> tunnel
    Given an exchange with a target and a peer that reaches it, where paths go through the peer
    When 60 requests are sent on a <which> tunnel each, and <what> after 0 to 15 ms
    Then no request has reached the target twice
    And no request has reached the target that failed as one that has not run
    And some requests have failed and some have reached the target

    Examples:
      | which | what                                 |
      | new   | the connection to the peer is reset  |
      | new   | the connection to the peer is closed |
      | new   | the target resets its connections    |
      | new   | the target closes its connections    |
      | kept  | the connection to the peer is reset  |
      | kept  | the connection to the peer is closed |
      | kept  | the target resets its connections    |
      | kept  | the target closes its connections    |

  Scenario: A target is told the time that is left once there is a connection, however long that took
    Given an exchange with a target and a peer that reaches it, where paths first go through a peer that is gone
    And the peer that is gone does not answer
    When a request with 1500 ms left is sent
    Then the target was told of the time that was left when the request reached it

  Scenario: A request that is withdrawn while its connection is opened is not sent
    Given an exchange with a target and a peer that reaches it, where paths first go through a peer that is gone
    And the peer that is gone does not answer
    When a request is sent and withdrawn 100 ms later
    Then the request fails as withdrawn
    And the request has not run
