Feature: Sizes of stored results and inputs

  # Guards against results that are never listed, as all that wait are written as one object that is too large.
  Scenario Outline: Results that were finished while the platform was away are stored in parts that fit
    Given a job of 200 items, and a platform that refuses objects of more than <limit> bytes
    When the platform is away for 9 s, and all items finish meanwhile with texts of 13600 characters <kind>
    Then the results of all items are stored within 10 s, and read back in pages of at most 1000000 bytes

    Examples: the platform may refuse objects below the size in the settings
      | limit   | kind                |
      | 1048576 | of ASCII            |
      | 1048576 | of four bytes each  |
      | 1048576 | that are escaped    |
      | 300000  | of ASCII            |

  Scenario: A result that no object can hold fails alone
    Given a job of 5 items, and a platform that refuses objects of more than 1048576 bytes
    When the platform is away for 1 s, and all items finish meanwhile with texts of 1000 characters of ASCII
    And the last item had a text of 1200000 characters instead
    Then the results of all items are stored within 10 s, and read back in pages of at most 1000000 bytes
    And the last item is listed as failed, the others as completed

  # Guards against jobs that are refused as if the platform were away, at every instance and every try.
  Scenario: A job with an item that no object can hold is refused for good
    Given a job of 5 items, and a platform that refuses objects of more than 1048576 bytes
    When a job is submitted whose item has a body of 1200000 characters
    Then it is refused as too large, and nothing of it is stored

  # Guards against a process that runs out of memory, as it keeps the inputs of many jobs whatever their size.
  Scenario Outline: Another instance keeps the <what> of some jobs for later reads, up to a size
    Given <count> jobs of 2 items with bodies and results of <length> characters
    When another instance reads the <what> of each, and then that of the first again
    Then the last read <outcome> the platform

    Examples:
      | what    | count | length  | outcome   |
      | body    | 30    | 500000  | asks      |
      | body    | 30    | 1000    | needs not |
      | results | 30    | 500000  | asks      |
      | results | 30    | 1000    | needs not |
