Feature: Load tool

  Scenario: The same seed gives the same requests
    Given an experiment of the load tool with bursts and idle gaps
    Then the load tool draws the same requests twice from one seed
    And the load tool draws other requests from another seed

  Scenario: Requests come in bursts and leave idle gaps
    Given an experiment of the load tool with bursts and idle gaps
    Then the load tool sends nothing in a quarter of the time, and in bursts more than twice the mean

  Scenario: Few accounts send most requests
    Given an experiment of the load tool with bursts and idle gaps
    Then the first account of the load tool sends more than ten times as much as the fiftieth

  Scenario: Latency counts from the intended send time
    When the load tool records a response that was sent 40 ms late and began 10 ms after
    Then the load tool reports a first token after 50 ms

  Scenario: Wrong texts and refusals are counted apart from complete responses
    When the load tool records a wrong text and a refusal
    Then the load tool reports 2 sent, 1 complete, 1 wrong and 1 refused as "overloaded"

  Scenario: An experiment with an unknown setting is refused
    Then the load tool rejects an experiment with "live.ratePerMinute" and names the setting

  Scenario Outline: The experiments of the playground are valid
    Then the load tool accepts "<file>"

    Examples:
      | file                                  |
      | playground/wadi-rum/experiment.json   |
      | playground/pastificio/experiment.json |
