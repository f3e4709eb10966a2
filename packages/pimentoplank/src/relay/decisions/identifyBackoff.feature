Feature: Targets that do not tell which process answers

  Scenario: The backoff doubles up to its bound
    When an item sent at 0 ms is refused at 10 ms since the process is not known
    Then items are held back until 260 ms
    When an item sent at 260 ms is refused at 270 ms since the process is not known
    Then items are held back until 770 ms
    When items sent after the backoff are refused 9 times more
    Then items are held back for 5000 ms

  Scenario: Items that were sent together count once
    When an item sent at 0 ms is refused at 10 ms since the process is not known
    And an item sent at 5 ms is refused at 200 ms since the process is not known
    Then items are held back until 260 ms

  Scenario: After the backoff one item at a time is a probe
    When an item sent at 0 ms is refused at 10 ms since the process is not known
    Then 0 items may start there at 259 ms
    And 1 item may start there at 260 ms
    And no item may start there at 260 ms while another one waits for its answer

  Scenario: Only the answer to an item that was sent after the refusal ends the backoff
    When an item sent at 0 ms is refused at 10 ms since the process is not known
    Then the answer to an item sent at 5 ms does not end the backoff
    And the answer to an item sent at 260 ms ends the backoff

  Scenario: A probed target gets items after the others, and one only
    Given target "a" with 4 free slots is probed and target "b" has 1
    Then 3 items start at: b, a

  Scenario: A target that is held back gets no items
    Given target "a" with 4 free slots is held back and target "b" has 1
    Then 3 items start at: b
