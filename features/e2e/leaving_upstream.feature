Feature: A leaving upstream gets no new work and loses none

  Background:
    Given a local fleet of 3 daemons with 4 upstreams per service

  Scenario: The drain signal counts although the host list lags
    Given the local host list lags by 30 seconds
    And 80 lookups per second of service "desk" for 12 s, seed 8
    When upstream "desk-1" signals that it drains
    Then no new work starts at upstream "desk-1" within 8 seconds
    And every call under load was answered whole

  Scenario: A planned stop interrupts no call
    Given 80 lookups per second of service "catalogue" for 10 s, seed 9
    When upstream "catalogue-2" is stopped as planned
    Then upstream "catalogue-2" ends with exit code 0
    And every call under load was answered whole
