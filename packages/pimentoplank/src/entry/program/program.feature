@entryProgram
Feature: The entry program

  Scenario: A missing settings file
    When the entry program runs with a settings file that does not exist
    Then the entry program ends with status 2 and names the file

  Scenario: Every error of a settings file at once
    When the entry program runs with settings that miss the peers, have a wrong port and an unknown key
    Then the entry program ends with status 2 and names peers, listen.port and surprise

  Scenario: An address in use
    When the entry program runs with the address of another server
    Then the entry program ends with status 1 and names EADDRINUSE

  Scenario: A platform that is not there at start
    When the entry program runs without a platform
    Then the entry program listens and refuses a request as starting, with when to come back
    When the entry program gets SIGTERM
    Then the entry program ends with status 0
