@crashQuarantine
Feature: Quarantine of content that crashes targets

  Background:
    Given a crash quarantine on 2 instances

  Scenario: Two crashes on one instance quarantine the content on both
    When target t1 crashes with content bad on crash instance 0
    Then content bad is only suspect
    When target t2 crashes with content bad on crash instance 0
    Then content bad is quarantined on both crash instances

  Scenario: Crashes recorded by two instances add up
    When target t1 crashes with content bad on crash instance 0
    And target t2 crashes with content bad on crash instance 1
    Then content bad is quarantined on both crash instances

  Scenario: One crash reported twice counts once
    When target t1 crashes with content bad on crash instance 0
    And target t1 crashes with content bad on crash instance 1
    Then content bad is only suspect

  Scenario: Targets that crash together quarantine nothing
    When target t1 crashes with content a on crash instance 0
    And target t2 crashes with content b on crash instance 0
    And target t3 crashes with content a on crash instance 0
    And target t4 crashes with content b on crash instance 0
    Then content a is only suspect
    And content b is only suspect

  Scenario: Two suspects on one crashing target need one more crash
    Given target t1 crashes with content bad on crash instance 0
    And 6 s pass for the crash quarantine
    And target t2 crashes with content good on crash instance 0
    And 6 s pass for the crash quarantine
    When content bad and content good run on target t3 when it crashes
    Then content bad is only suspect
    And content good is only suspect
    And 6 s pass for the crash quarantine
    When target t4 crashes with content bad on crash instance 0
    Then content bad is quarantined on both crash instances
    And content good is only suspect

  Scenario: An answer on one instance ends the refusal on the one that found the parts, too
    Given prompts with the parts a and b of their own crash 3 targets, 1 s apart
    Then prompts with the parts a and b are refused on both crash instances
    When 1 s pass for the crash quarantine
    And the answer to a prompt with the parts a and b begins on crash instance 1
    Then prompts with the parts a and b are answered on both crash instances

  Scenario: One request of all instances probes whether a part still crashes targets, at growing intervals
    Given prompts with the parts a and b of their own crash 3 targets, 1 s apart
    Then prompts with the parts a and b are refused on both crash instances
    When 7 s pass for the crash quarantine
    Then no request with the parts a and b may probe
    When 2 s pass for the crash quarantine
    Then one of 10 requests with the parts a and b may probe
    When 20 s pass for the crash quarantine
    Then no request with the parts a and b may probe
    When 20 s pass for the crash quarantine
    Then one of 10 requests with the parts a and b may probe

  Scenario: A probe that is answered ends the refusal on both instances
    Given prompts with the parts a and b of their own crash 3 targets, 1 s apart
    When 9 s pass for the crash quarantine
    And one of 10 requests with the parts a and b may probe
    And the answer to a prompt with the parts a and b begins on crash instance 1
    Then prompts with the parts a and b are answered on both crash instances

  Scenario: Content that crashes targets itself never probes
    Given prompts with the parts a and b of their own crash 3 targets, 1 s apart
    And 6 s pass for the crash quarantine
    And target t1 crashes with content bad on crash instance 0
    And target t2 crashes with content bad on crash instance 0
    When 9 s pass for the crash quarantine
    Then content bad with the parts a and b may not probe

  Scenario: A record expires
    Given target t1 crashes with content bad on crash instance 0
    And target t2 crashes with content bad on crash instance 0
    When 3601 s pass for the crash quarantine
    Then content bad is only suspect

  Scenario: An instance decides on its own while the platform is down
    Given the platform of the crash quarantine is down
    When target t1 crashes with content bad on crash instance 0
    And target t2 crashes with content bad on crash instance 0
    Then content bad is quarantined on crash instance 0
