Feature: Authentication between peers

  Scenario Outline: A call to a peer server with <security> from a peer with <credentials> is <answer>
    Given a peer server with <security>
    When a peer with <credentials> asks it for its status
    Then the peer call is <answer>

    Examples:
      | security            | credentials                            | answer   |
      | a shared key        | the shared key                         | answered |
      | a shared key        | another key                            | refused  |
      | certificates        | the shared key and a known certificate | answered |
      | certificates        | another key and a known certificate    | refused  |
      | certificates        | the shared key and a certificate of a stranger | refused |
      | certificates        | the shared key                         | refused  |

  # Guards against processes that run out of memory at the address for peers.
  Scenario Outline: A message of <size> KiB is <outcome> where messages of 64 KiB are the largest
    Given a peer server with messages of at most 64 KiB, and 2 connections
    When a message of <size> KiB is sent to it
    Then the message is <outcome>

    Examples:
      | size | outcome |
      | 64   | read    |
      | 65   | refused |

  Scenario: Connections beyond the limit are closed, the others stay
    Given a peer server with messages of at most 64 KiB, and 2 connections
    When 4 connections are opened to it one after the other
    Then the first 2 are open, and the others are closed
