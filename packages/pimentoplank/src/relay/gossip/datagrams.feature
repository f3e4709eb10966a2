Feature: Datagrams between instances

  Scenario Outline: What an instance knows of the reach of targets arrives with a <datagram>
    Given a target that answers, one that doesn't, and a third that is not reached
    When an instance that is cut off sends a <datagram>
    Then the receiver knows which target answers
    And it knows which suspect is not reached, and that the sender is cut off

    Examples:
      | datagram    |
      | report      |
      | load update |

  Scenario: Digests tell which targets answer
    Given a target that answers, one that doesn't, and a third that is not reached
    When an instance that is cut off sends a digest
    Then the receiver knows which target answers

  Scenario Outline: A <datagram> of an older version tells nothing of the reach of targets
    Given a target that answers, one that doesn't, and a third that is not reached
    When an instance of an older version sends a <datagram>
    Then the receiver knows of no target that answers
    And it takes all suspects for targets that fail, and the sender for one that is not cut off

    Examples:
      | datagram    |
      | report      |
      | load update |

  Scenario Outline: A <datagram> tells that streams have begun, one of an older version that they were placed
    When an instance sends a <datagram> with a stream
    Then the receiver knows that the stream has begun
    When an instance of an older version sends a <datagram> with a stream
    Then the receiver knows that the stream was placed

    Examples:
      | datagram    |
      | report      |
      | load update |

  Scenario: A datagram tells of one stream that begins, which older versions can't read
    When an instance sends that a stream begins
    Then the receiver knows its service, its version and how long to keep it
