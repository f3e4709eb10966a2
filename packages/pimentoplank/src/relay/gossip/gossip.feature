Feature: Limits of what datagrams make an instance keep

  # Guards against reports under ever new names, each of which is kept until its sender counts as lost.
  Scenario: Reports of unknown instances are ignored where as many peers as allowed are known
    Given an instance that knows at most 3 peers
    When it gets reports of 5 instances, each of which names 3 further addresses
    Then it knows the first 3 of them
    When it gets a second report of the first one
    Then it knows the second report
