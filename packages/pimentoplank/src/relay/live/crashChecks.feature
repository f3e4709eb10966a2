Feature: Whether the process of a target has gone whose connection broke as a request began

  Scenario: A process that goes on has not crashed
    Given a target whose process started at 100
    When its connection breaks as a request begins
    And it is seen that a process answers which started at 100
    Then it has not crashed

  Scenario: A process that started later took the place of one that crashed
    Given a target whose process started at 100
    When its connection breaks as a request begins
    And it is seen that a process answers which started at 200
    Then it has crashed

  Scenario: Two requests that one crash breaks both count
    Given a target whose process started at 100
    When its connection breaks as a request begins
    And its connection breaks as a request begins
    And it is seen that a process answers which started at 200
    And it is seen that a process answers which started at 200
    Then it has crashed, as seen 2 times

  Scenario: A target whose entry is out of date crashes once
    Given a target whose process started at 100
    When its connection breaks as a request begins
    And it is seen that a process answers which started at 200
    And its connection breaks as a request begins
    And it is seen that a process answers which started at 200
    Then it has crashed, as seen 1 time

  Scenario: Nothing listens any more, as a path shows that works
    Given a target whose process started at 100
    When its connection breaks as a request begins
    And it is seen that nothing listens, over a path that works
    Then it has crashed

  Scenario: What can't be connected to over a path that is lost is looked for until a process shows
    Given a target whose process started at 100
    When its connection breaks as a request begins
    And it is seen that nothing listens, over a path that is lost
    Then it is not known to have crashed
    When connections are reset for 3000 ms
    Then it is not known to have crashed
    When it is seen that a process answers which started at 100
    Then it has not crashed

  Scenario: A process that no path shows is given up after some time
    Given a target whose process started at 100
    When its connection breaks as a request begins
    And connections are reset for 11000 ms
    Then it has not crashed
    And it was looked for at most 35 times

  Scenario: A new entry tells that the process has gone
    Given a target whose process started at 100
    When its connection breaks as a request begins
    And its entry is replaced by that of a process which started at 200
    And connections are reset for 500 ms
    Then it has crashed

  Scenario: A process that does not tell its start and answers has not crashed
    Given a target whose process does not tell its start
    When its connection breaks as a request begins
    And it is seen that a process answers which does not tell its start
    Then it has not crashed

  Scenario: Checks end with their instance
    Given a target whose process started at 100
    When its connection breaks as a request begins
    And connections are reset for 500 ms
    And the instance closes
    Then it has not crashed
