Feature: Connections that are reset are never taken for the end of a response

  Scenario Outline: A response framed by <framing>, of which <part> is sent before a <by> <when>, is <state>
    Given a server that frames its response by <framing>, sends <part> of it and ends the connection by a <by> <when>
    When the response is read through a target agent
    Then the body of the response is <state>

    Examples:
      | framing    | part | by    | when                    | state    |
      | length     | half | close | with the last bytes     | broken   |
      | length     | half | reset | with the last bytes     | broken   |
      | length     | half | reset | 30 ms after these bytes | broken   |
      | chunks     | half | close | with the last bytes     | broken   |
      | chunks     | half | reset | with the last bytes     | broken   |
      | chunks     | half | reset | 30 ms after these bytes | broken   |
      | connection | half | reset | with the last bytes     | broken   |
      | connection | half | reset | 30 ms after these bytes | broken   |
      | connection | none | reset | with the last bytes     | broken   |
      | connection | none | reset | 30 ms after these bytes | broken   |
      | connection | all  | close | with the last bytes     | complete |
      | connection | all  | close | 30 ms after these bytes | complete |

  # Guards against parts of answers that are taken for whole, while the request is still being sent.
  Scenario Outline: A response without a length that ends after <read> of a request of <bytes> bytes was read is <state>
    Given a server that responds at once without a length, and ends the connection after it has read <read> of the request
    When a request of <bytes> bytes is sent through a target agent
    Then the body of the response is <state>

    Examples:
      | read    | bytes   | state    |
      | a part  | 1000000 | broken   |
      | a part  | 8000000 | broken   |
      | all     | 1000000 | complete |
      | all     | 8000000 | complete |
      | all     | 1000    | complete |

  Scenario Outline: A response with status <status> is none
    Given a server that responds with status <status>
    When a request is sent through a target agent that gets no response

    Examples:
      | status |
      | 000    |
      | 099    |
      | 1000   |
      | 20x    |
      | -200   |
      | 00200  |

  Scenario: The bytes before a reset are delivered
    Given a server that frames its response by connection, sends half of it and ends the connection by a reset with the last bytes
    When the response is read through a target agent
    Then half of the body was received
