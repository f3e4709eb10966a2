Feature: Runs of items

  Scenario: A silent run whose connection is dead is given up after the longer bound
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And 9 s pass for the item runner
    Then the item ran 1 times
    When 2 s pass for the item runner
    And the runner looks for items to start
    Then the item ran 2 times, the last time at "a" after event 2

  Scenario: A silent run goes on until another target has room
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    And a target "b" with 0 slots
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And 4 s pass for the item runner
    Then the item ran 1 times
    When target "b" gets 1 slot
    And the runner looks for items to start
    Then the item ran 2 times, the last time at "b" after event 2
    And target "a" has 0 items and target "b" has 1

  Scenario: A pause of a target under several items counts as one failure of the target
    Given an item runner with a job of 3 items and a target "a" with 3 slots
    And a target "b" with 0 slots
    When the runner looks for items to start
    And 4 s pass for the item runner
    And target "b" gets 3 slots
    And the runner looks for items to start
    Then the item ran 6 times, the last time at "b" before its first event
    And target "a" has failed 1 time

  Scenario: A target that is silent again counts as failed again
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    When the runner looks for items to start
    And 11 s pass for the item runner
    And the runner looks for items to start
    And 11 s pass for the item runner
    Then target "a" has failed 2 times

  Scenario: An item whose connection hangs as the path to targets is lost moves at once
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    And a target "b" with 1 slot
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And the path to targets is lost for the item runner
    Then the item ran 2 times, the last time at "b" after event 2
    And target "a" has 0 items and target "b" has 1

  Scenario: Connections that break while the path to targets is lost are no crashes
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    When the runner looks for items to start
    And the run at "a" breaks off
    Then 1 crash is recorded
    When 1 s pass for the item runner
    And the runner looks for items to start
    And the path to targets is lost for the item runner
    And the run at "a" breaks off
    Then 1 crash is recorded

  Scenario: A silent target that goes on keeps its item
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    And a target "b" with 0 slots
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And 4 s pass for the item runner
    And target "a" sends events 3 to 3
    And target "b" gets 1 slot
    And the runner looks for items to start
    Then the item ran 1 times

  Scenario: An item is not moved within a service that its route no longer names
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    And a target "b" with 0 slots
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And the route names another service
    And target "b" gets 1 slot
    And 4 s pass for the item runner
    Then the item ran 1 times

  Scenario: An item whose job ends while it moves does not run again, and the held slot is free
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    And a target "b" with 0 slots
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And 4 s pass for the item runner
    And target "b" gets 1 slot
    And the runner looks for items to start and the job is ended in the same moment
    Then the item ran 1 times
    And target "a" has 0 items and target "b" has 0

  Scenario: An item whose version is gone begins anew, which is no failed run
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    And the first item has failed once
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And target "a" is gone and target "b" of version "v2" has 1 slot
    And the run at "a" breaks off
    And 1 s pass for the item runner
    And the runner looks for items to start
    Then the item ran 2 times, the last time at "b" from its beginning
    And the first item has failed 1 times

  Scenario: An item whose target came back under its id at another version begins anew
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And target "a" has version "v2"
    And the run at "a" breaks off
    And 1 s pass for the item runner
    And the runner looks for items to start
    Then the item ran 2 times, the last time at "a" from its beginning

  Scenario: An item without any target keeps its text until one of its version is back
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And target "a" is gone
    And the run at "a" breaks off
    And 9 s pass for the item runner
    And the runner looks for items to start
    And target "a" is back
    And the runner looks for items to start
    Then the item ran 2 times, the last time at "a" after event 2

  Scenario: An item waits for its version for a bounded time while other targets are idle
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    And a target "b" of version "v2" with 1 slot
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And target "a" is full of live requests
    And the run at "a" breaks off
    And 1 s pass for the item runner
    And the runner looks for items to start
    And 2 s pass for the item runner
    And the runner looks for items to start
    Then the item ran 1 times
    When 1 s pass for the item runner
    And the runner looks for items to start
    Then the item ran 2 times, the last time at "b" from its beginning

  Scenario: A silent run with text does not move to another version
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And a target "b" of version "v2" with 1 slot
    And 4 s pass for the item runner
    And the runner looks for items to start
    Then the item ran 1 times

  Scenario: An item with text stays at its service while its route names that beside another one
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    And a target "b" of service "another" with 1 slot
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And the route names "another" with weight 9 beside the first service
    And the run at "a" breaks off
    And 1 s pass for the item runner
    And the runner looks for items to start
    Then the item ran 2 times, the last time at "a" after event 2

  Scenario: An item with text begins anew when its route names another service in place of its own
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    And a target "b" of service "another" with 1 slot
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And the route names another service
    And the run at "a" breaks off
    And 1 s pass for the item runner
    And the runner looks for items to start
    Then the item ran 2 times, the last time at "b" from its beginning

  Scenario: An item with text begins anew when its service has no target left and its route names another one
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    And a target "b" of service "another" with 1 slot
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And the route names "another" with weight 9 beside the first service
    And target "a" is gone
    And the run at "a" breaks off
    And 1 s pass for the item runner
    And the runner looks for items to start
    And the runner looks for items to start
    Then the item ran 2 times, the last time at "b" from its beginning

  Scenario: An item goes on after the loss of the peer through which it ran, which counts as no failure of its target
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And the peer through which the run at "a" goes is lost
    And 1 s pass for the item runner
    And the runner looks for items to start
    Then the item ran 2 times, the last time at "a" after event 2
    And target "a" has failed 0 times
    When the run at "a" breaks off
    Then target "a" has failed 1 time

  Scenario: An item whose job ends while its connection is established may not be sent any more
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    When the runner looks for items to start
    Then the item may still be sent
    When the job ends for the item runner
    Then the item may not be sent any more

  # Guards against items that are sent long after targets were found to crash on a part of their prompts.
  Scenario: An item on whose prompt targets are found to crash while its connection is established may not be sent
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    When the runner looks for items to start
    Then the item may still be sent
    When targets are found to crash on the prompt of the item
    Then the item may not be sent any more

  Scenario: An item without an answer is given up once the record of its job is out of date, and runs again later
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    And targets do not begin to answer
    When the runner looks for items to start
    And the record of the job is out of date
    And the runner looks for items to start
    Then the run of the item was aborted
    When the record of the job is read again
    And the runner looks for items to start
    Then the item ran 2 times, the last time at "a" before its first event

  # Guards against a text that is completed as empty because an earlier one, which was dropped, had ended openly.
  Scenario: An item that begins anew after an open end is not completed while targets refuse it
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And target "a" is gone and target "b" of version "v2" has 1 slot
    And the answer of target "a" ends without a sign whether events follow
    And targets refuse each request
    And the runner looks for items to start 9 times, 2 s apart
    Then the first item is not completed

  # Guards against failed runs that count as refusals to tell the rest of a text that was dropped.
  Scenario: An item that begins anew after an open end is given up after failed runs
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And target "a" is gone and target "b" of version "v2" has 1 slot
    And the answer of target "a" ends without a sign whether events follow
    And targets answer each request with status 500
    And the runner looks for items to start 9 times, 2 s apart
    Then the item ran 4 times
    And the first item is a dead letter

  # Guards against cut texts that count as whole because the targets that could tell the rest were full for a moment.
  Scenario: An item whose answer ended openly is not completed while targets refuse it
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And the answer of target "a" ends without a sign whether events follow
    And targets refuse each request
    And the runner looks for items to start 9 times, 2 s apart
    Then the first item is not completed

  Scenario: An item refused by a target that does not tell its process runs at another one, and no failure counts
    Given an item runner with a job of 1 item and a target "a" with 4 slots
    And a target "b" with 1 slot
    And target "a" does not tell which process answers
    When the runner looks for items to start
    And 200 ms pass for the item runner
    And the runner looks for items to start
    Then items ran 1 times at "a" and 1 times at "b"
    And target "a" has failed 0 times

  Scenario: A target that did not tell its process is probed by one item at a time, and used again once it tells
    Given an item runner with a job of 4 items and a target "a" with 4 slots
    And target "a" does not tell which process answers
    When the runner looks for items to start
    And 200 ms pass for the item runner
    And the runner looks for items to start
    Then items ran 4 times at "a" and 0 times at "b"
    When 100 ms pass for the item runner
    And the runner looks for items to start
    Then items ran 5 times at "a" and 0 times at "b"
    When target "a" tells which process answers
    And 600 ms pass for the item runner
    And the runner looks for items to start
    And the runner looks for items to start
    Then items ran 9 times at "a" and 0 times at "b"

  Scenario: An item with text whose version is left only at a target that does not tell its process begins anew
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    And a target "b" of version "v2" with 1 slot
    When the runner looks for items to start
    And target "a" sends events 1 to 2
    And target "a" does not tell which process answers
    And the run at "a" breaks off
    And the item runner looks for items to start every 100 ms for 20 s
    Then the last run was at "b" from the beginning of its text
    And no run at "b" went on with text

  Scenario: A silent run is not given up for a probe
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    And target "a" does not tell which process answers
    When the runner looks for items to start
    And a target "b" with 1 slot
    And 200 ms pass for the item runner
    And the runner looks for items to start
    And target "b" sends events 1 to 2
    And 4 s pass for the item runner
    And the runner looks for items to start
    Then items ran 1 times at "a" and 1 times at "b"

  Scenario: An item whose body is not in memory runs with the one at the platform
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    And the bodies of the job were dropped from memory
    When the runner looks for items to start
    Then the item ran 1 times
    And the item was sent with its body

  Scenario: An item whose body can't be read waits for the platform
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    And the bodies of the job were dropped from memory
    And the platform does not answer reads of the input
    When the runner looks for items to start
    Then the item ran 0 times
    And no failure of target "a" is recorded
    When the platform answers reads of the input
    And 2 s pass for the item runner
    And the runner looks for items to start
    Then the item ran 1 times
    And the item was sent with its body

  # Guards against items of a sound service that wait for those of one that is behind.
  Scenario Outline: An item starts beside earlier ones of a peer that wait for <where>
    Given an item runner with a job of 1 item and a target "a" with 1 slot
    And a second route of jobs names service "another"
    And a peer reports 60 items that are due earlier and wait for service "<service>"
    When the runner looks for items to start
    Then the item ran <runs> times

    Examples:
      | where           | service   | runs |
      | another service | another   | 1    |
      | its service     | assistant | 0    |

  Scenario: Waiting items are reported with their service where items run at several
    Given an item runner with a job of 4 items and a target "a" with 0 slots
    Then the item runner reports 4 waiting items of no named service
    When a second route of jobs names service "another"
    Then the item runner reports 4 waiting items of "assistant"

  # Guards against items that hold up those of other instances, though none of them may start.
  Scenario: An instance on which no new run may start reports no waiting items
    Given an item runner with a job of 4 items and a target "a" with 0 slots
    When no new run may start
    Then the item runner reports 0 waiting items
