Feature: Bytes that come late on kept connections to targets

  Scenario Outline: A copy of an earlier answer with status <status> is not the answer to another request
    Given a target that answers request "first" with status <status>
    When request "first" is sent, and its answer comes once more right before that to request "second"
    Then request "second" fails as spoiled, and may have run
    And a later request is sent on another connection

    Examples:
      | status |
      | 200    |
      | 421    |
      | 429    |
      | 503    |

  Scenario: A request is not sent on a connection that has carried its id
    Given a target that answers request "first" with status 503
    When request "first" is sent twice, and its answer comes once more right before the second one
    Then the second answer is the target's own
    And the target had 2 connections

  Scenario: Bytes that come on an idle connection end it
    Given a target that answers request "first" with status 503
    When request "first" is sent, and its answer comes once more 50 ms later
    Then the target sees that connection end
    And request "second" is answered on another connection

  Scenario: Bytes that come in the instant before a connection is used again end it unused
    Given a target that answers request "first" with status 503
    When request "first" is sent, and its answer comes once more in the instant in which request "second" is sent
    Then request "second" was answered on another connection
    And the target sees that connection end

  Scenario: A connection is used for a bounded number of requests
    Given a target that answers request "first" with status 503
    When 600 requests are answered by the target in turn
    Then the target had 3 connections

  Scenario: A request whose reason to be sent has gone once there is a connection is not sent
    Given a target that answers request "first" with status 200
    When request "late" is withdrawn while its connection is established
    Then request "late" failed as withdrawn, and has not run

  Scenario: A request that is aborted on a connection that hangs does not reach the target later
    Given a target that answers request "first" with status 200
    And the target reads nothing from its connections
    When request "late" with a body of 300000 bytes is sent, and aborted 200 ms later
    And the target reads what has come 100 ms later
    Then the target finds the connection reset, and request "late" incomplete

  # Guards against processes that end as a connection is closed of whose unframed answer the client holds a part back.
  Scenario: An unframed answer of which most is unread as it is given up breaks off
    Given a target that answers request "first" with status 200
    When request "long" is answered with 16 MB without a length, and given up 200 ms later
    Then the answer to request "long" breaks off when it is read
    And request "second" is answered on another connection
