Feature: Attribution of crashes to prompt parts
  Simulations in virtual time. A crash hits requests whose answers are about to begin, sound ones too.

  Scenario Outline: <pattern>
    Given the crash pattern "<pattern>"
    When crashes are simulated with seeds 1 to 20
    Then at most 3 requests with a crashing part reach targets later than 3 s after its fifth crash
    And at most <refused> of the sound requests are refused
    And at most <wrong> parts are found that crash nothing

    Examples:
      | pattern                                          | refused | wrong |
      | one part                                         | 0       | 0     |
      | one part, many requests                          | 0       | 0     |
      | one part, few requests                           | 0       | 0     |
      | two parts at once                                | 0       | 0     |
      | one part while many targets are lost             | 0.001   | 0     |
      | one part in a large fleet                        | 0       | 0     |
      | many targets lost, again and again               | 0       | 0     |
      | many targets lost while answers are slow to come | 0.001   | 1     |
      | many targets of a large fleet lost               | 0       | 0     |

  Scenario: A single prompt that is sent again is no evidence against its parts
    Given crashes 200 ms apart of 5 targets, each with prompt p1 of parts a and b
    Then no part is found
    But prompt p1 is found to crash targets

  Scenario: Targets that crash at the same moment are no evidence against the parts they have in common
    Given crashes 0 ms apart of 5 targets, each with a prompt of its own of parts a and b
    Then no part is found

  Scenario: An answer clears a part of earlier crashes
    Given crashes 200 ms apart of 5 targets, each with a prompt of its own of parts a and b
    And part a is answered after the last of them
    Then the part b is found

  Scenario: Parts that always crash together are refused only together
    Given crashes 200 ms apart of 5 targets, each with a prompt of its own of parts a and b
    Then the parts a and b are found

  Scenario: A part that was answered before needs more evidence
    Given part a is answered before the first of them
    And part b is answered before the first of them
    And crashes 200 ms apart of 5 targets, each with a prompt of its own of parts a and b
    Then no part is found
    Given crashes 200 ms apart of 6 targets, each with a prompt of its own of parts a and b
    Then the parts a and b are found
