Feature: Random sequences of work and failures on slots

  Scenario: While homes stay up, no target runs more than its limit
    Given random slot sequences with seed 20261203 of asks, releases, revocations, broken connections and lost holders
    When 40 slot sequences have run
    Then every ticket of the slot sequences ended once, and no slot leaked

  Scenario: While homes are lost, no target runs more than its limit and the announced share on top
    Given random slot sequences with seed 31220262 that kill, silence and stop homes as well
    When 40 slot sequences have run
    Then every ticket of the slot sequences ended once, and no slot leaked
