Feature: The checks of what must not go back can fail

  Scenario Outline: A page of a job <case>
    Given a job of 4 items of which front-1 listed 3 results
    When front-2 lists <page> 5000 ms later
    Then <violated> goes back

    Examples:
      | page                                        | violated | case                                |
      | 4 results                                   | nothing  | may have more results               |
      | 2 results of them                           | nothing  | may have fewer, as long as it has some |
      | 3 results and 5 items                       | total    | never has another number of items   |
      | 3 results and 0 items                       | total    | never has no number of items        |
      | 3 results and goes on at 2                  | next     | goes on after its last result       |
      | 5 results                                   | next     | never goes on after the last item   |
      | 3 results in another order                  | position | keeps the positions of the results  |
      | 3 results of which one is a dead letter now | position | keeps the results                   |
      | the third result at the fourth position     | position | has each item once                  |
      | a text without event 5                      | text     | has whole texts                     |
      | a text with event 5 twice                   | text     | has the texts of its items only     |

  Scenario Outline: A job of which nothing is left from the last position on, <case>
    Given a job of 4 items of which front-1 listed 3 results
    And <trouble> happens to front-2 <ms> ms before it is read there
    When front-2 lists nothing after 2 <later> ms later
    Then <violated> goes back

    Examples:
      | trouble       | ms   | later | violated | case                                    |
      | nothing       | 0    | 5000  | length   | at an instance in touch                 |
      | nothing       | 0    | 900   | nothing  | while it may still settle               |
      | a signal      | 1000 | 5000  | nothing  | after a signal                          |
      | a signal      | 3500 | 5000  | length   | long after a signal                     |
      | a store fault | 1000 | 5000  | nothing  | after a fault of the store              |

  Scenario Outline: An instance that has served version 3, <case>
    Given version 2 at 1000 ms, version 3 at 2000 ms and version 4 at <next> ms
    And front-1 answered a request of version 3 with 200 at 3000 ms
    When it answers a request of version <version> with <status> at <at> ms
    Then <violated> goes back

    Examples:
      | next | version | status | at   | violated | case                                              |
      | 9000 | 2       | 200    | 3600 | version  | serves no older one                               |
      | 9000 | 2       | 200    | 3150 | nothing  | may serve an older one for a moment               |
      | 9000 | 2       | 404    | 3600 | nothing  | refuses an older one                              |
      | 9000 | 2       | 503    | 3600 | nothing  | may be unsure                                     |
      | 9000 | 3       | 404    | 3600 | version  | does not refuse it                                |
      | 3200 | 3       | 404    | 3600 | nothing  | may refuse it when a newer one is there           |
      | 3200 | 4       | 404    | 3600 | nothing  | may not know the newer one                        |
      | 3200 | 4       | 200    | 3600 | nothing  | may serve the newer one                           |

  Scenario: An instance that starts again may serve an older version at first
    Given version 2 at 1000 ms, version 3 at 2000 ms and version 4 at 9000 ms
    And front-1 answered a request of version 3 with 200 at 3000 ms
    And front-1 was gone from 3200 to 3400 ms
    When it answers a request of version 2 with 200 at 3600 ms
    Then nothing goes back

  Scenario: An empty list of the directory goes back
    When the directory of front-1 lists nobody at 5000 ms
    Then directory goes back

  Scenario Outline: An instance that is gone <case>
    Given front-2 was gone from 2000 to 9000 ms
    When the directory of front-1 lists <first> at <at> ms
    And the directory of front-1 lists <then> at <later> ms
    Then <violated> goes back

    Examples:
      | first             | at   | then              | later | violated  | case                                  |
      | front-1           | 3000 | front-1, front-2  | 3500  | directory | does not come back                    |
      | front-1           | 1500 | front-1, front-2  | 2500  | nothing   | may have been left out before its end |
      | front-1           | 3000 | front-1, front-2  | 9500  | nothing   | comes back with its process           |
      | front-1, front-2  | 3000 | front-1, front-2  | 4900  | nothing   | may be listed for a while             |
      | front-1, front-2  | 3000 | front-1, front-2  | 5500  | directory | is not listed longer                  |

  Scenario Outline: A counter that <case>
    Given a counter of front-1 was <first> at 3000 ms
    And front-1 was gone from <from> to <to> ms
    When it is <then> at 5000 ms
    Then <violated> goes back

    Examples:
      | first | from | to   | then | violated | case                             |
      | 7     | 100  | 200  | 8    | nothing  | grows                            |
      | 7     | 100  | 200  | 7    | nothing  | stays                            |
      | 7     | 100  | 200  | 6    | counter  | falls                            |
      | 7     | 100  | 200  | gone | counter  | is gone                          |
      | 7     | 4000 | 4500 | 1    | nothing  | begins again with a new process  |
