Feature: Random sequences of work and failures on slots

  Scenario: While owners stay up, no target runs more than its limit
    Given random slot sequences with seed 20261203 of asks, releases, revocations, broken connections and lost holders
    When 40 slot sequences have run
    Then every ticket of the slot sequences ended once, and no slot leaked

  Scenario: While owners are lost, no target exceeds its limit by more than the share of the stand-ins
    Given random slot sequences with seed 31220262 that also kill, silence and stop owners
    When 40 slot sequences have run
    Then every ticket of the slot sequences ended once, and no slot leaked
