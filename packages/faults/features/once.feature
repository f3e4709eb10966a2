@matrix
Feature: Faults on the at-most-once path

  An at-most-once request runs at most once, and a request refused as not run did not run.

  Scenario Outline: once: <fault> at <step>
    Given a deployment for the once path
    When "<fault>" occurs at "<step>"
    Then the path keeps its guarantee

    @ci
    Examples:
      | fault                          | step                |
      | kill carrier                   | intent written      |
      | kill carrier                   | ran                 |
      | lose platform answer           | intent written      |
      | platform down                  | dispatched          |

    Examples:
      | fault                          | step                |
      | kill carrier                   | intent not written  |
      | kill carrier                   | dispatched          |
      | kill carrier                   | outcome not written |
      | kill carrier                   | outcome written     |
      | freeze carrier past its lease  | intent not written  |
      | freeze carrier past its lease  | intent written      |
      | freeze carrier past its lease  | dispatched          |
      | freeze carrier past its lease  | ran                 |
      | freeze carrier past its lease  | outcome not written |
      | freeze carrier past its lease  | outcome written     |
      | stop carrier                   | intent not written  |
      | stop carrier                   | intent written      |
      | stop carrier                   | dispatched          |
      | stop carrier                   | ran                 |
      | stop carrier                   | outcome not written |
      | stop carrier                   | outcome written     |
      | kill and restart carrier       | intent not written  |
      | kill and restart carrier       | intent written      |
      | kill and restart carrier       | dispatched          |
      | kill and restart carrier       | ran                 |
      | kill and restart carrier       | outcome not written |
      | kill and restart carrier       | outcome written     |
      | lose platform call             | intent not written  |
      | lose platform call             | outcome not written |
      | lose platform answer           | outcome written     |
      | platform down                  | intent not written  |
      | platform down                  | intent written      |
      | platform down                  | ran                 |
      | platform down                  | outcome not written |
      | platform down                  | outcome written     |
      | cut carrier from platform      | intent not written  |
      | cut carrier from platform      | intent written      |
      | cut carrier from platform      | dispatched          |
      | cut carrier from platform      | ran                 |
      | cut carrier from platform      | outcome not written |
      | cut carrier from platform      | outcome written     |
      | silence carrier to platform    | intent written      |
      | silence carrier to platform    | ran                 |
      | kill target                    | dispatched          |
      | kill target                    | ran                 |
      | cut target connections         | dispatched          |
      | cut target connections         | ran                 |
      | silence target connections     | dispatched          |
      | silence target connections     | ran                 |
      | kill carrier and platform down | intent written      |
      | kill carrier and platform down | ran                 |
