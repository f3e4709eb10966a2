Feature: Answers of targets are read ahead within a bound

  Scenario Outline: An answer that nobody reads is paused in time, and goes on when it is read
    Given a target that sends its answer in chunks of <bytes> bytes until it is paused
    Then at most <most> bytes wait to be read
    When the answer is read and 3 more such chunks arrive
    Then every chunk is read in order, and the target is no longer paused

    Examples:
      | bytes | most   |
      | 65536 | 131072 |
      | 16384 | 81920  |
      | 100   | 6500   |
