Feature: Objects of a batch job

  Scenario: Names of a job's parts sort in chunk order, after the upload's first object
    When 12 chunk names of an upload are sorted with its first object
    Then they stand in chunk order between the first object and the end name
    And each chunk name gives back its job, upload and place

  Scenario: A bitmap keeps any set of items
    Then 100 random sets of items survive a bitmap
