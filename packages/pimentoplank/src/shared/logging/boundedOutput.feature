Feature: Non-blocking log output

  Scenario: Lines are dropped, without blocking the process, when the reader is slow
    Given a log whose reader does not read
    When 1000 lines of 1000 characters are logged
    Then at most 300 lines are buffered
    When the reader reads all buffered lines
    And 1 lines of 10 characters are logged
    Then a log line reports more than 700 dropped lines
