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
