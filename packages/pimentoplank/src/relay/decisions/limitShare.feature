Feature: Shares of the limits that targets name
  Instances with more requests than the limits allow, in virtual time. Each knows the others with a delay.

  Scenario Outline: <instances> instances share a limit of <limit> requests a second
    Given <instances> instances in 4 failure domains that share a limit of <limit> requests a second
    When they send as many requests as they may for 60 s, while instances stop and start every 3 s
    Then the target gets at most <most> requests in any 4 s
    And it gets at least <least> requests in 60 s

    # At most one and a half times the limit and 5 more, as the platform allows; at least two thirds of the limit.
    Examples:
      | instances | limit | most | least |
      | 7         | 2.5   | 20   | 100   |
      | 9         | 4     | 29   | 160   |
      | 7         | 0.5   | 8    | 20    |
      | 60        | 3     | 23   | 120   |
      | 60        | 40    | 245  | 1600  |

  Scenario: Batch items leave the allowance to live requests
    Given 7 instances in 4 failure domains that share a limit of 4 requests a second
    When live requests and batch items wait at all of them for 60 s
    Then no batch item is sent
