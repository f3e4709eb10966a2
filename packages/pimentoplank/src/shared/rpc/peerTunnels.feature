@peerTunnels
Feature: Tunnels through peers to targets

  Scenario Outline: A whole exchange passes byte for byte between peers with <security>
    Given a peer with <security> that reaches a target
    When a body of 3 MB is posted through a tunnel and sent back framed by <framing>
    Then the answer through the tunnel is complete
    And the answer through the tunnel is the body that was posted
    And the peer soon has 0 open tunnels

    Examples:
      | security     | framing    |
      | a shared key | length     |
      | a shared key | connection |
      | certificates | length     |
      | certificates | connection |

  Scenario Outline: A body without a length that ends when <end> is <state>
    Given a peer with <security> that reaches a target
    When a target sends a body without a length through a tunnel, and then <end>
    Then the answer through the tunnel is <state>
    And the bytes that were sent before were received
    And the peer soon has 0 open tunnels
    And the target soon has 0 connections

    Examples:
      | security     | end                                          | state                       |
      | a shared key | the target closes with the last bytes        | complete                    |
      | a shared key | the target closes after the last bytes       | complete                    |
      | a shared key | the target resets with the last bytes        | broken by a reset           |
      | a shared key | the target resets after the last bytes       | broken by a reset           |
      | a shared key | the connection to the peer is reset          | broken by the peer          |
      | a shared key | the connection to the peer is closed         | broken by the peer          |
      | a shared key | the peer closes its server                   | broken by the peer          |
      | a shared key | the peer no longer answers                   | broken by the peer          |
      | certificates | the target closes with the last bytes        | complete                    |
      | certificates | the target resets with the last bytes        | broken by a reset           |
      | certificates | the connection to the peer is reset          | broken by the peer          |
      | certificates | the connection to the peer is closed         | broken by the peer          |
      | certificates | the peer closes its server                   | broken by the peer          |

  Scenario Outline: The end of the caller's side alone leaves the other side open, whose <end> arrives as that
    Given a peer with a shared key that reaches a target
    When the caller's side of a tunnel ends, and the target then answers and ends by a <end>
    Then the answer through the tunnel is <state>
    And the bytes that were sent before were received
    And the peer soon has 0 open tunnels
    And the target soon has 0 connections

    Examples:
      | end   | state             |
      | close | complete          |
      | reset | broken by a reset |

  Scenario: A tunnel whose connection to the target is reset as it opens breaks
    Given a peer with a shared key that reaches a target
    And connections to the target are reset as soon as they are open, and the answers arrive together
    When 20 tunnels are opened
    Then each of these tunnels is broken by a reset
    And the peer soon has 0 open tunnels

  Scenario: The connection to the target ends with the tunnel
    Given a peer with a shared key that reaches a target
    When a tunnel whose target is sending is closed
    Then the target has 0 connections within 100 ms
    And the peer soon has 0 open tunnels

  Scenario Outline: A tunnel is refused <because>
    Given a peer with a shared key that reaches a target
    When a tunnel is asked for <because>
    Then the tunnel is refused as <outcome>
    And the reason names <reason>
    And the target has been connected 0 times

    Examples:
      | because                                          | outcome      | reason           |
      | with another key                                 | peerFailed   | unknown key      |
      | to an address that belongs to no target          | peerFailed   | no such target   |
      | while the peer has no direct path                | peerFailed   | no direct path   |
      | while the peer has as many tunnels as it carries | peerFailed   | too many tunnels |
      | to a target that refuses connections             | targetFailed | ECONNREFUSED     |
      | of a peer that is gone                           | peerFailed   | ECONNREFUSED     |
      | of a peer that does not answer                   | peerFailed   | no answer        |

  Scenario: A peer that lost its own path while it connected says nothing about the target
    Given a peer with a shared key that reaches a target
    When a tunnel is asked for to a target that refuses connections, as the peer loses its direct path
    Then the tunnel is refused as peerFailed

  Scenario: A peer whose tunnel has ended carries another one
    Given a peer with a shared key that reaches a target
    When as many tunnels as the peer carries have been opened and closed
    Then another tunnel is opened

  Scenario: A tunnel is not reset while its session is reading
    Given a peer with a shared key that reaches a target
    When a tunnel is closed by its user in the event that its target has ended it
    Then it is reset in the next turn of the event loop, as its session is reading in this one
    And the peer soon has 0 open tunnels

  Scenario: A tunnel that nobody reads holds few bytes and does not stop others
    Given a peer with a shared key that reaches a target
    When 20 tunnels whose targets send without end are not read
    And a body of 3 MB is posted through a tunnel and sent back framed by length
    Then the answer through the tunnel is complete
    And the answer through the tunnel is the body that was posted
    And the peer has read less than 1 MB for each of the 20 others

  Scenario: A session without tunnels is closed, and opened again
    Given a peer with a shared key that reaches a target
    And sessions of tunnels are closed after 50 ms without a tunnel
    When a body of 1 MB is posted through a tunnel and sent back framed by length
    Then the peer soon has 0 sessions
    And another tunnel is opened

  Scenario: A shutdown of the peer waits for its tunnels
    Given a peer with a shared key that reaches a target
    When 3 tunnels are opened
    Then a shutdown of the peer waits for 3 tunnels
    When the tunnels are closed
    Then the peer soon has 0 open tunnels
    And a shutdown of the peer waits for 0 tunnels

  Scenario: An instance that is held up while its session with a peer is being established goes on
    Given a peer with a shared key that reaches a target
    When 36 tunnels are asked for in sessions of their own with a timeout of 40 ms, and this instance is held up for 60 ms each time
    Then some of these tunnels are refused as peerFailed, and nothing else fails
    And another tunnel is opened
