@matrix
Feature: Faults on the batch path

  An accepted item completes exactly once, its result stays readable, and an at-most-once item runs at most once.

  Scenario Outline: batch: <fault> at <step>
    Given a deployment for the batch path
    When "<fault>" occurs at "<step>"
    Then the path keeps its guarantee

    @ci
    Examples:
      | fault                            | step               |
      | kill carrier                     | job written        |
      | kill carrier                     | running            |
      | freeze carrier past its lease    | commit not written |
      | lose platform answer             | commit written     |
      | platform down                    | running            |
      | kill target                      | running            |

    Examples:
      | fault                            | step               |
      | kill carrier                     | chunk not written  |
      | kill carrier                     | chunk written      |
      | kill carrier                     | job not written    |
      | kill carrier                     | claim not written  |
      | kill carrier                     | claim written      |
      | kill carrier                     | segment written    |
      | kill carrier                     | commit not written |
      | kill carrier                     | commit written     |
      | kill carrier                     | end not written    |
      | kill carrier                     | end written        |
      | freeze carrier past its lease    | claim written      |
      | freeze carrier past its lease    | running            |
      | freeze carrier past its lease    | commit written     |
      | lose platform call               | chunk not written  |
      | lose platform answer             | chunk written      |
      | lose platform call               | job not written    |
      | lose platform answer             | job written        |
      | lose platform answer             | claim written      |
      | lose platform answer             | segment written    |
      | lose platform call               | commit not written |
      | lose platform answer             | end written        |
      | platform down                    | chunk written      |
      | platform down                    | job written        |
      | platform down                    | claim written      |
      | platform down                    | commit written     |
      | platform slow                    | running            |
      | platform stale                   | running            |
      | platform stale                   | commit written     |
      | cut carrier from platform        | claim written      |
      | cut carrier from platform        | running            |
      | cut carrier from platform        | commit not written |
      | silence carrier to platform      | running            |
      | silence target connections       | running            |
      | cut target connections           | running            |
      | close target streams inside an event | running        |
      | reset target streams inside an event | running        |
      | target leaves                    | running            |
      | stop carrier                     | running            |
      | stop carrier                     | commit written     |
      | kill and restart carrier         | running            |
      | kill target and carrier          | running            |
      | kill carrier and platform down   | running            |
      | kill carrier and platform down   | commit written     |
      | freeze carrier and platform slow | running            |
