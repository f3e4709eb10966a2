@entryProgram
Feature: The entry program

  Scenario: A missing settings file
    When the entry program runs with a settings file that does not exist
    Then the entry program ends with status 2 and names the file

  Scenario: All errors of a settings file are reported together
    When the entry program runs with settings that miss the peers, have a wrong port and an unknown key
    Then the entry program ends with status 2 and names peers, listen.port and surprise

  Scenario: An address in use
    When the entry program runs with the address of another server
    Then the entry program ends with status 1 and names EADDRINUSE

  Scenario: The platform is unavailable at start
    When the entry program runs without a platform
    Then the entry program listens and refuses a request as starting, with a retry delay
    When the entry program gets SIGTERM
    Then the entry program ends with status 0
