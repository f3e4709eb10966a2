Feature: Decisions under load patterns
  Simulations in virtual time: each instance sees the load of the others with a delay, targets admit requests in order
  of arrival. The bounds are what a scheduler with complete knowledge could reach on the mean of the same arrivals.

  Scenario Outline: <pattern>
    Given the load pattern "<pattern>"
    When it is simulated with seeds 1 to 3
    Then the live requests on time are at least <live> of the upper bound
    And at least <items> of the batch items are finished when due
    And the slot utilization is at least <use> of the upper bound
    And every refusal comes within 50 ms

    Examples:
      | pattern                                   | live | items | use  |
      | steps beside batch that fits              | 0.97 | 0.99  | 0.95 |
      | steps beside batch that does not fit      | 0.95 | 0.60  | 0.90 |
      | a burst of live requests on top of a step | 0.85 | 0.95  | 0.95 |
      | a third of the targets gone               | 0.90 | 0.95  | 0.95 |
      | many jobs at once                         | 0.97 | 0.95  | 0.95 |
      | empty targets added under load            | 0.90 | 0.95  | 0.95 |
      | a large fleet whose steps do not fit      | 0.82 | 0.80  | 0.90 |
      | instances that see each other late        | 0.60 | 0.95  | 0.95 |

  Scenario: Callers who come again after a kill of all instances amid a step are served
    Given the load pattern "a kill of all instances amid a step"
    When it is simulated with seeds 1 to 3
    Then at most 0.01 of the live requests are refused for good
    And the live requests on time are at least 0.85 of the upper bound

  Scenario: Items wait for a crowded software version for a bounded time
    Given the load pattern "most targets of the older version gone"
    When it is simulated with seeds 1 to 3
    Then at least 0.95 of the batch items are finished when due
    And no item waits longer than 3100 ms for its version while other targets have room
    And at most 0.1 of the batch items begin anew

  Scenario: Under overload, items that can still finish when due start first
    Given one free slot and two items: one due in 1000 ms that needs 4000 ms, one due in 6000 ms that needs 4000 ms
    Then the item due in 6000 ms starts
    And of two running items the one due in 1000 ms is preempted

  Scenario: Items that can all finish when due start in the order of their due times
    Given one free slot and two items: one due in 5000 ms that needs 4000 ms, one due in 6000 ms that needs 4000 ms
    Then the item due in 5000 ms starts
    And of two running items the one due in 6000 ms is preempted
