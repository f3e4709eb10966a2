Feature: Waiting items in reports

  # Guards against items that peers don't know of, as those of a service that is behind fill the report.
  Scenario: A report tells of the items of each service, however many due times one of them has
    Given 60 waiting items of service "alpha" that are due in 1 to 60 s, and 2 of service "beta" that are due in 90 s
    When they are summarized for a report
    Then the report has at most 24 entries, of which 1 tells of 2 items of "beta"
    And the entries of "alpha" are those due in 1 to 12 s
