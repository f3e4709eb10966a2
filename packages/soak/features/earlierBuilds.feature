Feature: Datagrams between present instances and those of earlier builds

  # Guards against an acceptance that an earlier build concludes, or is taken to tell, from a record that was merely read.
  Scenario Outline: What instances of <commit> and present ones tell each other of jobs
    Given the datagrams of <commit>
    When a present instance tells of job "j" at epoch 1 that was accepted
    Then the earlier instance knows its owner
    When the earlier instance tells of job "j" at epoch 1
    Then the present instance knows its owner, but not that it was accepted
    When the earlier instance tells of job "j" at epoch 2
    Then the present instance knows its owner, and that it was accepted

    Examples:
      | commit  |
      | 73ceb3c |
      | 97b2886 |

  # Guards against items of one service that hold up those of another at instances of an earlier build.
  Scenario Outline: What instances of <commit> and present ones tell each other of waiting items, in a <datagram>
    Given the datagrams of <commit>
    When a present instance tells in a <datagram> of 3 items that wait where all run at one service
    Then the earlier instance knows of 3 waiting items
    When a present instance tells in a <datagram> of 3 items that wait for service "alpha"
    Then the earlier instance knows of 0 waiting items
    When the earlier instance tells in a <datagram> of 3 waiting items
    Then the present instance knows of 3 that wait for a service that isn't said

    Examples:
      | commit  | datagram    |
      | 73ceb3c | report      |
      | 73ceb3c | load update |
      | 97b2886 | report      |
      | 97b2886 | load update |

  # Guards against streams that go on at another service, or are refused, since one side doesn't tell the service.
  Scenario Outline: What instances of <commit> and present ones tell each other of streams, in a <datagram>
    Given the datagrams of <commit>
    When a present instance tells in a <datagram> that a stream began at version "v1" of service "alpha"
    Then the earlier instance knows version "v1" of it
    When the earlier instance tells in a <datagram> that a stream began at version "v1"
    Then the present instance knows version "v1" of it, and no service

    Examples:
      | commit  | datagram     |
      | 73ceb3c | report       |
      | 73ceb3c | load update  |
      | 73ceb3c | first notice |
      | 97b2886 | report       |
      | 97b2886 | load update  |
      | 97b2886 | first notice |
