Feature: Decisions under load patterns
  Replays in virtual time: each instance sees the others a little late, targets admit in order of arrival. The bounds are
  what an order that knows everything could reach on the mean of the same arrivals.

  Scenario Outline: <pattern>
    Given the load pattern "<pattern>"
    When it is replayed with seeds 1 to 3
    Then the live requests on time are at least <live> of what is possible
    And at least <items> of the batch items are done when due
    And the slot time used is at least <use> of what is possible
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

  Scenario: Where not all items fit, those that can still be done when due go first
    Given one free slot and two items: one due in 1000 ms that needs 4000 ms, one due in 6000 ms that needs 4000 ms
    Then the item due in 6000 ms starts
    And of two running items the one due in 1000 ms gives way

  Scenario: Items that can all be done when due go in that order
    Given one free slot and two items: one due in 5000 ms that needs 4000 ms, one due in 6000 ms that needs 4000 ms
    Then the item due in 5000 ms starts
    And of two running items the one due in 6000 ms gives way
