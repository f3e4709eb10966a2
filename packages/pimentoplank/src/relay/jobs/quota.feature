Feature: Limit of waiting tokens across instances

  Scenario Outline: What instances have accepted never exceeds the limit, whatever they hear and the platform's answers take
    Then with answers that take <least> to <most> ms and are lost in <lost> of 100 cases, 4 instances that hear <heard> accept at least <tokens> and at most 1000 tokens in 25 random runs

    Examples:
      | least | most | lost | heard          | tokens |
      | 1     | 20   | 0    | nobody         | 500    |
      | 1     | 20   | 0    | some, at times | 500    |
      | 60    | 180  | 5    | some, at times | 500    |
      | 400   | 900  | 0    | nobody         | 500    |
      | 400   | 1100 | 10   | some, at times | 0      |
      | 10    | 3000 | 30   | nobody         | 0      |

  Scenario Outline: A job whose record is changed after it was accepted still comes before those stored meanwhile
    Given 2 instances that hear nobody, and a platform that answers after 100 ms
    When a job of 1 items is accepted at the second instance, and then one of 90 items at the first
    And one of 20 items is submitted at the second while the record of that of 90 items is changed to <change>
    Then the last job is refused as not run, and its record is deleted

    Examples:
      | change            |
      | {"epoch":2}       |
      | {"accepted":true} |

  Scenario: Calls that come together share a read of the records
    Given the records of 3 jobs, and a view of them that was read
    When 20 callers want the records as they are now
    Then all of them have the same records, with 1 read more

  Scenario: Records that can't be read hold a caller up for a bounded time
    Given the records of 3 jobs, and a view of them that was read
    When the platform does not answer any more, and a caller wants the records up to a later change
    Then the call fails within 3600 ms

  Scenario: Answers that overtake each other leave the latest records
    Given the records of 3 jobs, and a view of them that was read
    When a read whose answer takes 900 ms has begun, and a job is ended before another one that takes 10 ms
    Then the view has 2 open jobs at once, and when both are answered

  Scenario: Records that were read before the platform discarded its history are read anew
    Given the records of 3 jobs, and a view of them that was read
    When the platform discards its history, and the record of a job is deleted
    Then the view has 2 open jobs once its records are read

  # Guards against an instance that its peers take for lost, as none of its reports fits a datagram.
  Scenario: A report of an instance with very many jobs fits a datagram
    Given an instance that owns 8000 jobs of 2 items
    Then its report has at most 32768 bytes
