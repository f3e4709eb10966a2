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
