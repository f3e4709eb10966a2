Feature: At which software version a stream may go on

  Scenario Outline: A stream of which nothing is known, <case>
    Given a service whose versions are known <known>, last registered <versions>
    When the version of a stream of which nothing is known is looked for
    Then it is "<version>"

    Examples:
      | case                                             | known              | versions         | version |
      | while only one version has served                | from its beginning | v1 now           | v1      |
      | while two versions serve                         | from its beginning | v1 now, v2 now   | unknown |
      | just after the other version has left            | from its beginning | v1 3s, v2 now    | unknown |
      | minutes after the other version has left         | from its beginning | v1 59min, v2 now | unknown |
      | long after the other version has left            | from its beginning | v1 61min, v2 now | v2      |
      | at an instance that doesn't know what was before | for 9s             | v1 now           | unknown |
      | at one that has followed the service for long    | for 61min          | v1 now           | v1      |
      | after the last target of its version is gone     | from its beginning | v1 2s            | v1      |

  Scenario: A stream of which nothing is known, while an entry is out of date
    Given a service whose versions are known from its beginning, last registered v1 now
    And the entry of one of its targets is out of date
    When the version of a stream of which nothing is known is looked for
    Then it is "unknown"

  Scenario Outline: A stream of which nothing is known, where the platform has <case>
    Given a service whose versions are known from its beginning, last registered <versions>
    And the platform has <registered> registered and <recorded> recorded
    When the version of a stream of which nothing is known is looked for
    Then it is "<version>"

    Examples:
      | case                                       | versions          | registered | recorded | version |
      | the same version                           | v1 now            | v1         | v1       | v1      |
      | a version that has joined                  | v1 now            | v1 v2      | v1       | unknown |
      | a record of a version that is gone again   | v1 now            | v1         | v1 v2    | unknown |
      | a version that was gone for long           | v1 now, v2 120min | v1 v2      | v1 v2    | unknown |
      | an old record of a version gone for long   | v1 now, v2 120min | v1         | v1 v2    | v1      |

  Scenario Outline: A stream of which nothing is known, on a route that is split with a service <case>
    Given a service whose versions are known <known>, last registered v1 now
    And the route is split with a service whose versions are known <known there>, last registered <versions there>
    When the version of a stream of which nothing is known is looked for
    Then it is "<version>"

    Examples:
      | case                               | known              | known there        | versions there   | version |
      | of the same version                | from its beginning | from its beginning | v1 now           | unknown |
      | of another version                 | from its beginning | from its beginning | v2 now           | unknown |
      | of another version until of late   | from its beginning | from its beginning | v1 now, v2 59min | unknown |
      | of the same version, v2 long ago   | from its beginning | from its beginning | v1 now, v2 61min | unknown |
      | of another version long ago        | from its beginning | from its beginning | v2 61min         | v1      |
      | of the same version long ago       | from its beginning | from its beginning | v1 61min         | v1      |
      | that is known for moments          | from its beginning | for 9s             | v1 now           | unknown |
      | that is known for longer           | for 9s             | from its beginning | v1 now           | unknown |

  # Guards against answers that are begun by one service and go on at another one.
  Scenario Outline: The service of a stream whose version is known, on a route that is split with a service <case>
    Given a service whose versions are known <known>, last registered v1 now
    And the route is split with a service whose versions are known <known there>, last registered <versions there>
    When the service of a stream of version v1 is looked for
    Then it is the <service> service

    Examples:
      | case                                | known              | known there        | versions there   | service |
      | of another version                  | from its beginning | from its beginning | v2 now           | first   |
      | of the same version                 | from its beginning | from its beginning | v1 now           | unknown |
      | of the same version until of late   | from its beginning | from its beginning | v1 59min, v2 now | unknown |
      | of the same version long ago        | from its beginning | from its beginning | v1 61min, v2 now | first   |
      | of another version known for long   | from its beginning | for 61min          | v2 now           | first   |
      | of another version known for short  | from its beginning | for 9s             | v2 now           | unknown |

  Scenario Outline: The version of a stream that was placed at a process <case>
    Given an entry that describes a process of version v1 that started at <listed>
    When a stream is placed at the process that started at <found>, and an entry of version v2 and start 70 comes later
    Then its version is "<at first>" at first and "<later>" later

    Examples:
      | case                                  | listed  | found   | at first | later   |
      | which the entry describes             | 50      | 50      | v1       | v1      |
      | which the entry doesn't describe yet  | 50      | 70      | unknown  | v2      |
      | which no entry ever describes         | 50      | 60      | unknown  | unknown |
      | which doesn't tell its start          | 50      | unknown | unknown  | unknown |
      | while entries don't tell it           | unknown | unknown | v1       | v1      |

  Scenario: A broken stream goes on at targets of its version only
    Given targets "a v1, b v2, c v1"
    When a stream of version v1 that failed at "a" looks for a target
    Then it may go on at "c"

  Scenario: The last target of a version is used again before the stream is given up
    Given targets "a v1, b v2"
    When a stream of version v1 that failed at "a" looks for a target
    Then it may go on at "a"

  Scenario: A target whose entry is out of date gets no begun streams
    Given targets "a v1, c v1 outdated"
    When a stream of version v1 that failed at "none" looks for a target
    Then it may go on at "a"

  Scenario: A stream is not sent to a target whose entry is out of date, even if there is no other
    Given targets "a v1 outdated, b v2"
    When a stream of version v1 that failed at "a" looks for a target
    Then it may go on at "none"
