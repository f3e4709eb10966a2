Feature: HTTP API of batch jobs

  Background:
    Given an entry instance that splits batch jobs into chunks of 4 items

  Scenario: A job is stored completely before it is acknowledged
    When the batch caller "dunes" uploads 10 items with key "rosters"
    Then the batch answer is 201
    And the platform stores 1 batch job and 3 chunks with those 10 items once each

  Scenario: Resubmitting a job returns the existing job
    When the batch caller "dunes" uploads 10 items with key "rosters"
    And the batch caller "dunes" uploads 10 items with key "rosters"
    Then the batch answer is 200
    And the platform stores 1 batch job and 3 chunks with those 10 items once each

  Scenario: Two concurrent submissions create one job, and the chunks of the other upload are removed
    When the batch caller "dunes" uploads 10 items with key "rosters" through two instances at once
    Then one batch answer is 201 and the other 200, with one id
    And the platform stores 1 batch job and 3 chunks with those 10 items once each

  Scenario: Other content under the same key is refused
    When the batch caller "dunes" uploads 10 items with key "rosters"
    And the batch caller "dunes" uploads 11 items with key "rosters"
    Then the batch answer is 409 with reason "batchConflict"
    And the platform stores 1 batch job and 3 chunks with those 10 items once each

  Scenario: An invalid line near the end of an upload leaves nothing stored
    When the batch caller "dunes" uploads 10000 items over TCP of which line 9999 is invalid
    Then the batch answer is 400 with reason "badRequest"
    And the batch answer names "line 9999"
    And the platform stores nothing of a batch job

  Scenario Outline: An invalid line is refused with its line number and field
    When the batch caller "dunes" uploads the lines
      | {"id":"a","body":{"messages":[{"role":"user","content":"x"}]}} |
      | <line>                                                         |
    Then the batch answer is <status> with reason "<reason>"
    And the batch answer names "<place>"
    And the platform stores nothing of a batch job

    Examples:
      | line                                                                    | status | reason       | place                 |
      | {"id":"a","body":{"messages":[{"role":"user","content":"y"}]}}          | 400    | badRequest   | line 1                |
      | {"id":"b","body":{"messages":[{}],"model":"none"}}                      | 404    | unknownModel | line 2: body.model    |
      | {"id":"b","body":{}}                                                    | 400    | badRequest   | line 2: body.messages |
      | {"id":7,"body":{"messages":[{}]}}                                       | 400    | badRequest   | line 2: id            |
      | {"id":"b","body":{"messages":[{}]},"noRepeat":"yes"}                    | 400    | badRequest   | line 2: noRepeat      |
      | {"id":"b","body":{"prompt":""},"endpoint":"/v1/completions"}            | 400    | badRequest   | line 2: body.prompt   |

  Scenario: An upload beyond the limits is refused
    When the batch caller "dunes" uploads 10001 items with key "rosters"
    Then the batch answer is 413 with reason "bodyTooLarge"
    And the platform stores nothing of a batch job

  Scenario Outline: The platform fails at one step of an upload
    Given the platform is <fault> at <operation> of "<kind>" for batch callers
    When the batch caller "dunes" uploads 10 items with key "rosters"
    Then the batch answer is 503 with reason "platformDown"
    And the batch answer has outcome "<outcome>" and a retry time
    When the platform serves batch callers again
    And the batch caller "dunes" uploads 10 items with key "rosters"
    Then the batch answer is <again>
    And exactly the 10 items belong to the one batch job

    Examples:
      | fault          | operation | kind  | outcome | again |
      | down           | get       | job   | not_run | 201   |
      | down           | put       | chunk | not_run | 201   |
      | losing answers | put       | chunk | not_run | 201   |
      | down           | put       | job   | not_run | 201   |
      | losing answers | put       | job   | unknown | 200   |

  Scenario: An account reads and cancels only its own jobs, an operator any job
    When the batch caller "dunes" uploads 10 items with key "rosters"
    Then the batch caller "springs" gets 404 for the job, its results and its cancellation
    And the batch operator "ops" reads the job

  Scenario: Only results that a checkpoint lists are read, each id once, in chunk order
    When the batch caller "dunes" uploads 10 items with key "rosters"
    And checkpoints list results of 4 items of chunk 1 and 2 items of chunk 0, and a segment of chunk 0 is unlisted
    Then the results contain the 6 listed ids once each, chunk 0 first
    And the job counts 6 done and 4 pending

  Scenario: A truncated result stream is not mistaken for a complete one
    When the batch caller "dunes" uploads 10 items with key "rosters"
    And checkpoints list results of 4 items of chunk 1 and 2 items of chunk 0, and a segment of chunk 0 is unlisted
    And the platform fails at the second segment
    Then reading the results fails midway

  Scenario: Cancelling is accepted once and refused for a job that is done
    When the batch caller "dunes" uploads 10 items with key "rosters"
    Then cancelling the job answers 202, then 200
    When the batch caller "dunes" uploads 10 items with key "trails"
    And the job is done
    Then cancelling the job answers 409, then 409
