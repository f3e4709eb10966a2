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

  Scenario: The bytes before a reset are delivered
    Given a server that frames its response by connection, sends half of it and ends the connection by a reset with the last bytes
    When the response is read through a target agent
    Then half of the body was received
