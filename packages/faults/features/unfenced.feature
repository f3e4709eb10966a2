@matrix
Feature: Faults on the order path

  The scenarios of the order path, with engines that ignore the fencing number.

  Scenario Outline: unfenced: <fault> at <step>
    Given a deployment for the unfenced path
    When "<fault>" occurs at "<step>"
    Then the path keeps its guarantee

    @ci
    Examples:
      | fault                         | step              |
      | freeze carrier past its lease | loading           |

    Examples:
      | fault                         | step              |
      | none                          | loading           |
      | none                          | placement written |
      | none                          | lease renewed     |
      | kill carrier                  | loading           |
      | kill carrier                  | placement written |
      | kill carrier                  | lease renewed     |
      | freeze carrier past its lease | placement written |
      | freeze carrier past its lease | lease renewed     |
      | stop carrier                  | loading           |
      | stop carrier                  | placement written |
      | stop carrier                  | lease renewed     |
      | cut carrier from platform     | loading           |
      | cut carrier from platform     | placement written |
      | cut carrier from platform     | lease renewed     |
