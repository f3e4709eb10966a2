Feature: Objects of a batch job

  Scenario: Chunk names sort in chunk order, after the first object of the upload
    When 12 chunk names of an upload are sorted with its first object
    Then they are in chunk order between the first object and the end name
    And each chunk name parses to its job, upload and index

  Scenario: A bitmap preserves any set of items
    Then 100 random sets of items are preserved by a bitmap
