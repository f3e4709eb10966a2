Feature: Leases

  Background:
    Given a lease of 30 s that is renewed every 10 s

  Scenario: A second process with the same name does not act while the first renews
    When the process "a" asks for the lease
    And 120 s pass for the lease while "b" asks every 10 s
    Then the lease is held by "a" at epoch 1 and not by "b"

  Scenario: A lease that is no longer renewed passes on, and its holder knows before
    When the process "a" asks for the lease
    And the lease writes of "a" stop reaching the platform
    And 28 s pass for the lease while "b" asks every 10 s
    Then the lease is held by nobody
    When 20 s pass for the lease while "b" asks every 10 s
    Then the lease is held by "b" at epoch 2 and not by "a"
    When the lease writes of "a" reach the platform again
    And 20 s pass for the lease while "b" asks every 10 s
    Then the lease of "a" is lost for good

  Scenario: Time without a read proves no lapse
    When a lease observer sees revision 7
    And 300 s pass for the lease
    Then the lease observer takes it as held
    When a lease observer sees revision 8
    And 20 s pass for the lease
    And a lease observer sees revision 8
    Then the lease observer takes it as held
    When 10 s pass for the lease
    And a lease observer sees revision 8
    Then the lease observer takes it as lapsed

  Scenario: A renewal whose answer was lost does not cost the lease
    When the process "a" asks for the lease
    And the platform takes the next lease write of "a" and loses its answer
    And 60 s pass for the lease while "b" asks every 10 s
    Then the lease is held by "a" at epoch 1 and not by "b"

  Scenario: A released lease is free at once
    When the process "a" asks for the lease
    And the process "a" releases the lease
    And the process "b" asks for the lease
    Then the lease is held by "b" at epoch 2 and not by "a"
