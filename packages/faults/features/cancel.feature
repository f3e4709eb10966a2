@matrix
Feature: Faults on the cancel path

  A cancelled job stops: its state is final, none of its items starts afterwards, and committed results stay readable.

  Scenario Outline: cancel: <fault> at <step>
    Given a deployment for the cancel path
    When "<fault>" occurs at "<step>"
    Then the path keeps its guarantee

    @ci
    Examples:
      | fault                          | step               |
      | kill carrier                   | running            |
      | freeze carrier past its lease  | commit not written |

    Examples:
      | fault                          | step               |
      | none                           | running            |
      | none                           | cancel not written |
      | none                           | cancel written     |
      | none                           | commit not written |
      | none                           | commit written     |
      | kill carrier                   | cancel not written |
      | kill carrier                   | cancel written     |
      | kill carrier                   | commit not written |
      | kill carrier                   | commit written     |
      | freeze carrier past its lease  | running            |
      | freeze carrier past its lease  | cancel not written |
      | freeze carrier past its lease  | cancel written     |
      | freeze carrier past its lease  | commit written     |
      | platform down                  | running            |
      | platform down                  | cancel not written |
      | platform down                  | cancel written     |
      | platform down                  | commit not written |
      | platform down                  | commit written     |
      | cut carrier from platform      | running            |
      | cut carrier from platform      | cancel not written |
      | cut carrier from platform      | cancel written     |
      | cut carrier from platform      | commit not written |
      | cut carrier from platform      | commit written     |
      | stop carrier                   | running            |
      | stop carrier                   | cancel not written |
      | stop carrier                   | cancel written     |
      | stop carrier                   | commit not written |
      | stop carrier                   | commit written     |
      | lose platform answer           | cancel written     |
      | lose platform call             | cancel not written |
      | lose platform answer           | commit written     |
      | kill carrier and platform down | running            |
      | platform slow                  | running            |
      | platform stale                 | running            |
      | platform stale                 | cancel written     |
