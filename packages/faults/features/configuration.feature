@matrix
Feature: Faults on the configuration path

  An accepted configuration takes effect everywhere within seconds and never reverts; of concurrent operators one succeeds.

  Scenario Outline: configuration: <fault> at <step>
    Given a deployment for the configuration path
    When "<fault>" occurs at "<step>"
    Then the path keeps its guarantee

    @ci
    Examples:
      | fault                          | step             |
      | none                           | operators race   |
      | lose platform answer           | note written     |
      | platform stale                 | spreading        |
      | kill carrier                   | spreading        |

    Examples:
      | fault                          | step             |
      | none                           | note not written |
      | none                           | note written     |
      | none                           | spreading        |
      | kill carrier                   | note not written |
      | kill carrier                   | note written     |
      | freeze carrier past its lease  | note not written |
      | freeze carrier past its lease  | note written     |
      | freeze carrier past its lease  | spreading        |
      | platform down                  | note not written |
      | platform down                  | note written     |
      | platform down                  | spreading        |
      | platform slow                  | note not written |
      | platform slow                  | note written     |
      | platform slow                  | spreading        |
      | platform stale                 | note not written |
      | platform stale                 | note written     |
      | cut carrier from platform      | note not written |
      | cut carrier from platform      | note written     |
      | cut carrier from platform      | spreading        |
      | silence carrier to platform    | note not written |
      | silence carrier to platform    | note written     |
      | silence carrier to platform    | spreading        |
      | lose platform call             | note not written |
      | kill and restart carrier       | spreading        |
      | kill carrier and platform down | spreading        |
      | restart carrier in an outage   | spreading        |
      | lose platform call             | operators race   |
      | platform down                  | operators race   |
      | platform slow                  | operators race   |
