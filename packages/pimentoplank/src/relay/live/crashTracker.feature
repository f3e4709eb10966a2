Feature: Probes of refused prompt parts by several instances

  Scenario: Instances that are asked for a part which still crashes targets probe it at most three times
    Given 7 instances that hear each other's reports after 300 ms
    And the part "bad" crashed 3 targets of each prompt that had it
    When requests with the part "bad" arrive at instances 1 to 7 every 50 ms for 600 s
    Then 2 to 3 of them reached targets
    And no instance lets requests with the part "bad" through

  Scenario Outline: A sound part that was refused is served again, whichever instance is asked for it
    Given 7 instances that hear each other's reports after 300 ms
    And the part "bad" crashed 3 targets of each prompt that had it
    And requests with the part "bad" are answered from now on
    When requests with the part "bad" arrive at instances <asked> to <asked> every 50 ms for 44 s
    Then every instance lets requests with the part "bad" through

    Examples:
      | asked |
      | 1     |
      | 4     |
      | 7     |

  Scenario: An instance that heard nothing for some time learns that a part is sound
    Given 7 instances that hear each other's reports after 300 ms
    And the part "bad" crashed 3 targets of each prompt that had it
    And requests with the part "bad" are answered from now on
    And instance 7 hears nothing
    When requests with the part "bad" arrive at instances 1 to 6 every 50 ms for 44 s
    And instance 7 hears the others again
    And 1 s passes without requests
    Then every instance lets requests with the part "bad" through

  # Guards against prompts that are refused since targets closed connections before they had read the request.
  Scenario Outline: A prompt under which living targets closed <kind> connections is <outcome>
    Given 1 instances that hear each other's reports after 300 ms
    When 4 living targets close <kind> connections under the same prompt
    Then the prompt is <outcome>

    Examples:
      | kind | outcome     |
      | kept | let through |
      | new  | refused     |

  # Guards against an instance that its peers take for lost, as none of its reports fits a datagram.
  Scenario: A report on crashes under prompts with many parts fits a datagram
    Given 7 instances that hear each other's reports after 300 ms
    When 16 targets crash at instance 1 under 8 prompts of 2000 parts each
    Then the report of instance 1 has at most 32768 bytes, and names the last crash
    And the last of these prompts is refused after it has crashed 3 targets
