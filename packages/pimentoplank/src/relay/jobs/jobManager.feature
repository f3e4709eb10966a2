Feature: Ownership of jobs

  Scenario: A job that is accepted again while its owner takes it over has all its results stored
    Given a job manager whose store holds a job of 4 items with this instance as its owner
    When the takeover of the job waits for the store to update its record
    And the caller's repeat of the job is accepted
    And the first item of the job is finished
    And the store updates the record
    And the other items of the job are finished
    And 10 s pass for the job manager
    Then the store has the results of all 4 items, each once

  Scenario: A job taken over by an instance whose wall clock is ahead is not expired early
    Given a job manager whose store holds a job of 2 items with this instance as its owner
    And the job was submitted 90 s ago by the wall clock, on a route with a retention of 60 s
    When the job is taken over
    And the job manager ticks after 1 s
    Then 2 items of the job are open
    When the job manager ticks after 60 s
    Then 0 items of the job are open

  Scenario: Progress that a peer hands over does not replace that of items which run here already
    Given a job manager whose store holds a job of 2 items with this instance as its owner
    When a peer hands the job over with event 5 of both items, and the store is slow
    And the caller's repeat of the job is accepted
    And the first item of the job runs and has event 2
    And the store updates the record
    Then the items of the job have events 2 and 5

  Scenario: A text that a peer hands over without its version is dropped, the failures of its item are kept
    Given a job manager whose store holds a job of 2 items with this instance as its owner
    When a peer hands the job over with event 5 of both items, only the second with its version, and 1 failure each
    Then the items of the job have no event and event 5, and 1 failure each

  Scenario Outline: An end that is heard before the job is opened stops the job
    Given a job manager whose store holds a job of 2 items with this instance as its owner
    When the takeover of the job waits for the store to update its record
    And a peer tells that the job was ended at epoch <epoch>
    And the store updates the record
    Then the job has ended, and its runs were stopped

    Examples:
      | epoch |
      | 1     |
      | 2     |

  Scenario: A job whose next owner is heard before it is opened is released
    Given a job manager whose store holds a job of 2 items with this instance as its owner
    When a peer tells that it owns the job at epoch 2
    And the caller's repeat of the job is accepted
    Then the job is not owned

  Scenario: A result that the former owner stores during the takeover keeps its position
    Given a job manager whose store holds a job of 3 items with this instance as its owner
    When the job is taken over while the former owner still stores the result of its first item
    Then the first result of the job is that of the former owner, and 2 items are open
    And the former owner finds the next place taken by epoch 2

  Scenario: An owner that meets results of its successor stores none behind them
    Given a job manager whose store holds a job of 3 items with this instance as its owner
    When the caller's repeat of the job is accepted
    And an instance that is not heard takes the job over and stores the result of its first item
    And the second item of the job is finished
    And 10 s pass for the job manager
    Then the store has 1 results, all of the successor
    And the job is not owned

  Scenario: A job that was lost to an instance which is gone now is taken over with that instance's results
    Given a job manager whose store holds a job of 3 items with this instance as its owner
    When the caller's repeat of the job is accepted
    And an instance that is not heard takes the job over and stores the result of its first item
    And that instance is gone, and its jobs are taken over here
    Then the first result of the job is that of the former owner, and 2 items are open
    And the former owner finds the next place taken by epoch 3

  Scenario: A job that is taken over with all its results stored is noted as finished, as soon as the store answers
    Given a job manager whose store holds a job of 3 items with this instance as its owner
    When the job is taken over with the results of all items stored, and the store does not answer 5 writes after that
    And 10 s pass for the job manager
    Then the record says that the job is finished

  Scenario: A takeover goes on until the platform has answered its writes, and takes one place of the results
    Given a job manager whose store holds a job of 3 items with this instance as its owner
    When the job is taken over while the platform does not answer 20 writes of results
    Then 3 items of the job are open
    And the former owner finds the next place taken by epoch 2
    And the store has 1 segment

  Scenario: A takeover goes on until the platform has answered its reads of results
    Given a job manager whose store holds a job of 3 items with this instance as its owner
    When the job is taken over while the platform does not answer 20 reads of results
    Then 3 items of the job are open
    And the former owner finds the next place taken by epoch 2

  Scenario Outline: A takeover whose writes get no answers is given up once <what>
    Given a job manager whose store holds a job of 3 items with this instance as its owner
    When the takeover of the job gets no answers to its writes of results
    And <what>
    And 30 s pass for the job manager
    Then the job was not taken over

    Examples:
      | what                                           |
      | a peer tells that the job was ended at epoch 2 |
      | a peer tells that it owns the job at epoch 3   |
      | the instance of the job manager stops          |

  Scenario: An owner that meets results of a successor and no record ends its job
    Given a job manager whose store holds a job of 3 items with this instance as its owner
    When the caller's repeat of the job is accepted
    And an instance that is not heard takes the job over and stores the result of its first item
    And the record of the job is deleted
    And the second item of the job is finished
    And 10 s pass for the job manager
    Then the job has ended, and its runs were stopped

  Scenario: Results are in doubt from a write without an answer until one is answered
    Given a job manager whose store holds a job of 3 items with this instance as its owner
    When the caller's repeat of the job is accepted
    And the platform does not answer writes of results
    And the second item of the job is finished
    And 3 s pass for the job manager
    Then the results of the job are in doubt at any time of the next 10 s
    When the platform answers writes of results, and the first item of the job is finished before the next one
    And the store has got the second item's result
    Then the results of the job are not in doubt 400 ms later

  # Guards against items that are neither run nor listed, since nothing gives them up before their retention is over.
  Scenario: Items that wait while their route is dropped are given up, those that run are not
    Given a job manager whose store holds a job of 4 items with this instance as its owner
    And the job was submitted 1 s ago by the wall clock, on a route with a retention of 60 s
    When the job is taken over
    And the first item of the job runs and has event 2
    And the configuration drops the route
    And the job manager ticks each second for 4 s
    Then 4 items of the job are open
    When the job manager ticks each second for 3 s
    Then 1 items of the job are open

  Scenario: The items of a job that is taken over after its route was dropped are given up
    Given a job manager whose store holds a job of 4 items with this instance as its owner
    And the job was submitted 1 s ago by the wall clock, on a route with a retention of 60 s
    And the configuration drops the route
    When the job is taken over
    And the job manager ticks each second for 7 s
    Then 0 items of the job are open

  Scenario: Items whose route is back soon are not given up
    Given a job manager whose store holds a job of 4 items with this instance as its owner
    And the job was submitted 1 s ago by the wall clock, on a route with a retention of 60 s
    When the job is taken over
    And the configuration drops the route
    And the job manager ticks each second for 4 s
    And the job was submitted 1 s ago by the wall clock, on a route with a retention of 60 s
    And the job manager ticks each second for 4 s
    And the configuration drops the route
    And the job manager ticks each second for 4 s
    Then 4 items of the job are open

  # Guards against memory that callers fill with jobs which they end: their items never get results.
  Scenario: A job that its caller has ended is dropped from memory as a finished one is
    Given a job manager whose store holds a job of 2 items with this instance as its owner
    When the job is taken over
    And a peer tells that the job was ended at epoch 2
    And the job manager ticks each second for 50 s
    Then the job has ended, and its runs were stopped
    When the job manager ticks each second for 12 s
    Then the job is not owned
