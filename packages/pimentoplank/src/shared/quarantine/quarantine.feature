@crashQuarantine
Feature: Quarantine of content that crashes targets

  Background:
    Given a crash quarantine on 2 instances

  Scenario: Two deaths on one instance condemn the content on both
    When target t1 dies with content bad on crash instance 0
    Then content bad is only suspect
    When target t2 dies with content bad on crash instance 0
    Then content bad is quarantined on both crash instances

  Scenario: Deaths seen by two instances add up
    When target t1 dies with content bad on crash instance 0
    And target t2 dies with content bad on crash instance 1
    Then content bad is quarantined on both crash instances

  Scenario: One death reported twice counts once
    When target t1 dies with content bad on crash instance 0
    And target t1 dies with content bad on crash instance 1
    Then content bad is only suspect

  Scenario: Targets that are lost together condemn nothing
    When target t1 dies with content a on crash instance 0
    And target t2 dies with content b on crash instance 0
    And target t3 dies with content a on crash instance 0
    And target t4 dies with content b on crash instance 0
    Then content a is only suspect
    And content b is only suspect

  Scenario: Two suspects on one dying target need one more death
    Given target t1 dies with content bad on crash instance 0
    And 6 s pass for the crash quarantine
    And target t2 dies with content good on crash instance 0
    And 6 s pass for the crash quarantine
    When content bad and content good run on target t3 as it dies
    Then content bad is only suspect
    And content good is only suspect
    And 6 s pass for the crash quarantine
    When target t4 dies with content bad on crash instance 0
    Then content bad is quarantined on both crash instances
    And content good is only suspect

  Scenario: An entry expires
    Given target t1 dies with content bad on crash instance 0
    And target t2 dies with content bad on crash instance 0
    When 3601 s pass for the crash quarantine
    Then content bad is only suspect

  Scenario: An instance decides by itself while the platform is down
    Given the platform of the crash quarantine is down
    When target t1 dies with content bad on crash instance 0
    And target t2 dies with content bad on crash instance 0
    Then content bad is quarantined on crash instance 0
