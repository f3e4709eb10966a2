@matrix
Feature: Faults on the live path

  Each caller gets the complete response to its request; requests refused as not run did not run; a planned stop cuts none.

  Scenario Outline: live: <fault> at <step>
    Given a deployment for the live path
    When "<fault>" occurs at "<step>"
    Then the path keeps its guarantee

    @ci
    Examples:
      | fault                                 | step        |
      | kill target                           | streaming   |
      | stop carrier                          | streaming   |
      | silence target connections            | first token |
      | kill home                             | queued      |
      | reset target streams inside an event  | streaming   |

    Examples:
      | fault                                 | step        |
      | none                                  | streaming   |
      | kill carrier                          | queued      |
      | kill carrier                          | first token |
      | kill carrier                          | streaming   |
      | stop carrier                          | queued      |
      | stop carrier                          | first token |
      | kill target                           | queued      |
      | kill target                           | first token |
      | silence target connections            | queued      |
      | silence target connections            | streaming   |
      | cut target connections                | queued      |
      | cut target connections                | first token |
      | cut target connections                | streaming   |
      | close target streams inside an event  | streaming   |
      | close target streams inside an event  | first token |
      | reset target streams inside an event  | first token |
      | target leaves                         | queued      |
      | target leaves                         | first token |
      | target leaves                         | streaming   |
      | kill home                             | first token |
      | kill home                             | streaming   |
      | freeze home                           | queued      |
      | freeze home                           | first token |
      | freeze home                           | streaming   |
      | platform down                         | queued      |
      | platform down                         | first token |
      | platform down                         | streaming   |
      | platform slow                         | queued      |
      | platform slow                         | first token |
      | platform slow                         | streaming   |
      | instance list stale                   | queued      |
      | instance list stale                   | first token |
      | instance list stale                   | streaming   |
      | kill target and carrier               | streaming   |
      | kill carrier and platform down        | streaming   |
      | kill target and platform down         | streaming   |
      | stop carrier and platform down        | streaming   |
      | target leaves and instance list stale | queued      |
