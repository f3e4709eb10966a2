Feature: Client of the platform

  Scenario Outline: An instance list with a record that has <oddity> holds all other records
    Given a platform whose instance list has a record with <oddity> among 2 sound ones
    When the instance list is read
    Then it has the 2 sound records only

    Examples:
      | oddity                 |
      | an unknown role        |
      | no address             |
      | a number as its id     |
      | 100000 levels of lists |

  # Guards against a process that runs out of memory, as it keeps bytes that don't end.
  Scenario Outline: A platform that sends <what> without end
    Given a platform that sends <what> without end
    When an object is read and written
    Then both calls fail, and at most 80 MiB were sent for each connection

    Examples:
      | what             |
      | a body           |
      | a chunked body   |
      | a header line    |
      | header lines     |
      | interim answers  |

  # Guards against a write that is said not to be stored, as nothing follows the head of its answer, which has no length.
  Scenario: A write whose answer ends after its head may have been carried out
    Given a platform whose answers to writes end after their heads
    When an object is written
    Then the write may have been carried out
