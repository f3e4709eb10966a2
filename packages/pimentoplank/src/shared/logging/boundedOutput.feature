Feature: Logs never block

  Scenario: A slow reader loses lines, not the process
    Given a log whose reader takes nothing
    When 1000 lines of 1000 characters are logged
    Then at most 300 lines wait to be written
    When the reader takes everything
    And 1 lines of 10 characters are logged
    Then a line says that more than 700 lines were dropped
