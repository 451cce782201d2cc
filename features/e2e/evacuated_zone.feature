Feature: The upstreams of an evacuated zone get no new work and lose none

  # Guards against a daemon that keeps permits for upstreams of the zone, and against calls
  # in progress that an evacuation cuts.
  Scenario: An operator evacuates a zone under load and takes that back
    Given a local fleet of 3 daemons with 4 upstreams per service
    And 80 lookups per second of service "desk" for 14 s, seed 8
    When an operator commits a text that evacuates the zone of upstream "desk-1"
    Then no new work starts at upstream "desk-1" within 5 seconds
    When an operator commits a text with a time limit of 1500 ms
    Then new work starts at upstream "desk-1" within 5 seconds
    And every call under load was answered whole
