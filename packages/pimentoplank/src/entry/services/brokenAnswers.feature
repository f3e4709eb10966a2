@entryBench
Feature: Answers of plain services that break off are never delivered as complete

  Scenario Outline: An answer framed by <framing> that breaks off by a <by> stays incomplete
    Given the entry bench with 1 entry and 1 plain service target
    And the booking service frames answers by <framing> and breaks off the next one by a <by>
    When the availability is read through entry 0
    Then the reply is broken

    Examples:
      | framing    | by    |
      | length     | close |
      | length     | reset |
      | chunks     | close |
      | chunks     | reset |
      | connection | reset |

  Scenario: A caller of HTTP/1.0 sees a reset where an answer breaks off
    Given the entry bench with 1 entry and 1 plain service target
    And the booking service frames answers by length and breaks off the next one by a close
    When the availability is read through entry 0 over HTTP/1.0
    Then the connection of the caller is reset

  Scenario: An answer that ends with its connection is complete after an orderly close
    Given the entry bench with 1 entry and 1 plain service target
    And the booking service frames answers by connection
    When the availability is read through entry 0
    Then the reply is complete

  Scenario: A caller that disconnects before its answer is not held against the target
    Given the entry bench with 1 entry and 1 plain service target
    And the booking service is silent
    When the availability is read through entry 0 by a caller that disconnects
    Then the booking service's slot was released as revoked

  Scenario: An answer that breaks off is held against the target
    Given the entry bench with 1 entry and 1 plain service target
    And the booking service frames answers by length and breaks off the next one by a close
    When the availability is read through entry 0
    Then the booking service's slot was released as failed
