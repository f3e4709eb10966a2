Feature: Callers keep the first bytes of long answers
  Instances pass on the bytes of a target that sends them without end, and callers keep their answers until a run is checked.

  Scenario Outline: <caller> keeps at most <most> KiB of an answer of <size> KiB
    Given a server whose answers have <size> KiB
    When <caller> sends it a request
    Then the answer is whole and at most <most> KiB of it are kept
    And the answer says that it is <state>

    # The last chunk that is kept may exceed the limits of 64 KiB and 16 MiB.
    Examples:
      | caller              | size  | most  | state     |
      | a caller of a run   | 60    | 60    | complete  |
      | a caller of a run   | 32768 | 192   | truncated |
      | a caller of a fleet | 8192  | 8192  | complete  |
      | a caller of a fleet | 32768 | 16512 | truncated |
