Feature: Stored prompt parts that crash targets

  Scenario: A part that is found again after its record has expired is known to instances that start later
    Given a store of crashing parts that keeps records for 600 s
    When a part is saved, and again 700 s later
    And an instance starts 300 s later
    Then it loads the part as found 300 s ago

  Scenario: A part that two instances find at once is stored once
    Given a store of crashing parts that keeps records for 600 s
    When a part is saved, and again 1 s later
    Then the platform has taken 1 write of it
