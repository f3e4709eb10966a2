Feature: Whether the end of a connection is that of its answer
  Load pattern: connections that end in an orderly way while their process lives. The list of runs may be some hundred ms old.

  Scenario Outline: A run that is listed with <made> events when <received> were received, the last one <quiet> ms before
    Given a new run of which <received> events were received, the last one <quiet> ms before its end
    And its process has listed <gone> whole answers no longer, and <listed> still, as they ended
    When its process lists it with <made> events
    Then more events <follow>, and it may be listed for <ms> ms

    Examples:
      | received | made | quiet | gone | listed | follow | ms  |
      | 5        | 7    | 10    | 3    | 0      | follow | 40  |
      | 5        | 5    | 10    | 3    | 0      | may    | 40  |
      | 5        | 5    | 200   | 3    | 0      | may    | 230 |
      | 5        | 5    | 9000  | 3    | 0      | may    | 530 |
      | 5        | 5    | 10    | 0    | 0      | may    | 500 |
      | 5        | 5    | 10    | 3    | 1      | may    | 500 |
      | 5        | 4    | 10    | 3    | 0      | may    | any |

  # Guards against whole answers that are marked as cut since their process lists each run for longer than was thought.
  Scenario Outline: A run is listed for no longer than states that came late have shown
    Given states told <first>, 170 and 220 ms after the ends of whole answers that their runs were gone
    And a new run of which 5 events were received, the last one 10 ms before its end
    When its process lists it with 5 events
    Then more events may, and it may be listed for <ms> ms

    Examples:
      | first | ms  |
      | 4     | 44  |
      | 120   | 160 |
      | 170   | 210 |

  Scenario: A list that was always late says nothing of how long runs are listed
    Given states told 500, 600 and 700 ms after the ends of whole answers that their runs were gone
    And a new run of which 5 events were received, the last one 10 ms before its end
    When its process lists it with 5 events
    Then more events may, and it may be listed for 500 ms

  Scenario: A run that goes on says nothing by being listed, but by the events that it has made
    Given a run that went on after event 3 and received 2 events
    When its process lists it with 5 events
    Then more events may, and it may be listed for any ms
    When its process lists it with 6 events
    Then more events follow, and it may be listed for any ms

  Scenario: A plain answer whose run is still listed when no list is that old is broken off
    Given a plain answer
    When its process lists it with 0 events
    Then more events may, and it may be listed for 500 ms

  # Guards against whole streams that are marked since one request for their rest was reset, and cut ones that are not.
  Scenario Outline: Of a live stream, after the ends <ends> it is <known> that no event follows, and it <may> end as whole
    Then of a live stream, after the ends "<ends>" it is <known> that no event follows, and it <may> end as whole

    Examples:
      | ends                                     | known     | may     |
      | openEnd                                  | not known | may     |
      | openEnd broken                           | not known | may not |
      | openEnd broken emptyEnd@b                | not known | may not |
      | openEnd broken emptyEnd@b emptyEnd@b     | known     | may not |
      | openEnd emptyEnd broken emptyEnd@b       | not known | may not |
      | openEnd broken broken                    | not known | may not |
      | openEnd broken broken emptyEnd@b         | not known | may not |
      | openEnd connectFailed                    | not known | may not |
      | openEnd broken openEnd@b                 | not known | may     |

  # A target that ends each of its answers after the head is one witness, however often it is asked.
  Scenario Outline: After the ends <ends> it is <known> that no event follows
    Then after the ends "<ends>" it is <known> that no event follows

    Examples:
      | ends                                      | known     |
      | openEnd                                   | not known |
      | openEnd emptyEnd                          | not known |
      | openEnd emptyEnd emptyEnd                 | known     |
      | openEnd emptyEnd refused emptyEnd         | known     |
      | emptyEnd@a emptyEnd@b                     | known     |
      | emptyEnd emptyEnd emptyEnd emptyEnd       | not known |
      | emptyEnd refused refused emptyEnd refused refused emptyEnd | known |
      | openEnd noRest                            | not known |
      | openEnd openEnd                           | not known |
      | openEnd broken emptyEnd emptyEnd          | not known |
      | openEnd endedEarly                        | not known |

  # Guards against cut texts that count as whole since targets fail or are full for a moment.
  Scenario: An item of whose rest targets tell nothing counts as whole only after seconds
    Then an item whose usual wait is 100 ms waits 200, 400, 800, 1600 and 3200 ms for its rest, and then counts as whole
    And refusals with status 429 and 503 don't count among these, those with 400 and 500 do
