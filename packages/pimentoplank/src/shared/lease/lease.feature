Feature: Leases

  Background:
    Given a lease of 30 s that is renewed every 10 s

  Scenario: A second process with the same name does not acquire a lease that the first one renews
    When the process "a" tries to acquire the lease
    And 120 s pass for the lease while "b" tries to acquire it every 10 s
    Then the lease is held by "a" at epoch 1 and not by "b"

  Scenario: A lease that is no longer renewed changes holder, and the old holder stops first
    When the process "a" tries to acquire the lease
    And the lease writes of "a" fail
    And 28 s pass for the lease while "b" tries to acquire it every 10 s
    Then the lease is held by nobody
    When 20 s pass for the lease while "b" tries to acquire it every 10 s
    Then the lease is held by "b" at epoch 2 and not by "a"
    When the lease writes of "a" succeed again
    And 20 s pass for the lease while "b" tries to acquire it every 10 s
    Then the lease of "a" is lost permanently

  Scenario: Time without a read does not prove expiry
    When the lease observer reads revision 7
    And 300 s pass for the lease
    Then the lease observer takes it as held
    When the lease observer reads revision 8
    And 20 s pass for the lease
    And the lease observer reads revision 8
    Then the lease observer takes it as held
    When 10 s pass for the lease
    And the lease observer reads revision 8
    Then the lease observer takes it as lapsed

  Scenario: A renewal whose response was lost does not lose the lease
    When the process "a" tries to acquire the lease
    And the platform applies the next lease write of "a" and loses its response
    And 60 s pass for the lease while "b" tries to acquire it every 10 s
    Then the lease is held by "a" at epoch 1 and not by "b"

  Scenario: A released lease can be acquired at once
    When the process "a" tries to acquire the lease
    And the process "a" releases the lease
    And the process "b" tries to acquire the lease
    Then the lease is held by "b" at epoch 2 and not by "a"
