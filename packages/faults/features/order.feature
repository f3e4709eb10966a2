@matrix
Feature: Faults on the order path

  Orders of a controller that lost its lease have no effect; enough replicas serve while versions change.

  Scenario Outline: order: <fault> at <step>
    Given a deployment for the order path
    When "<fault>" occurs at "<step>"
    Then the path keeps its guarantee

    @ci
    Examples:
      | fault                          | step                  |
      | freeze carrier past its lease  | loading               |
      | kill carrier                   | loading               |

    Examples:
      | fault                          | step                  |
      | none                           | loading               |
      | none                           | placement not written |
      | none                           | placement written     |
      | none                           | lease not renewed     |
      | none                           | lease renewed         |
      | kill carrier                   | placement not written |
      | kill carrier                   | placement written     |
      | kill carrier                   | lease not renewed     |
      | kill carrier                   | lease renewed         |
      | freeze carrier past its lease  | placement not written |
      | freeze carrier past its lease  | placement written     |
      | freeze carrier past its lease  | lease not renewed     |
      | freeze carrier past its lease  | lease renewed         |
      | stop carrier                   | loading               |
      | stop carrier                   | placement not written |
      | stop carrier                   | placement written     |
      | stop carrier                   | lease not renewed     |
      | stop carrier                   | lease renewed         |
      | platform down                  | loading               |
      | platform down                  | placement not written |
      | platform down                  | placement written     |
      | platform down                  | lease not renewed     |
      | platform down                  | lease renewed         |
      | cut carrier from platform      | loading               |
      | cut carrier from platform      | placement not written |
      | cut carrier from platform      | placement written     |
      | cut carrier from platform      | lease not renewed     |
      | cut carrier from platform      | lease renewed         |
      | lose platform answer           | placement written     |
      | lose platform answer           | lease renewed         |
      | lose platform call             | lease not renewed     |
      | kill target                    | loading               |
      | silence target connections     | loading               |
      | kill carrier and platform down | loading               |
      | target leaves                  | loading               |
