Feature: Daemons together keep the request limit that an upstream states

  Background:
    Given a local fleet of 3 daemons with 3 upstreams per service

  # Guards against a limit that is kept in simulations but not by real daemons.
  Scenario: Some upstreams state a limit
    Given upstreams "desk-1 desk-2" state a limit of 2 requests a second
    When 40 lookups per second of service "desk" for 12 s, seed 40
    Then every call under load was answered whole
    And no limited upstream has got more requests than its limit allows

  # Guards against callers that wait for upstreams that take no more requests.
  Scenario: All upstreams of a service state a limit
    Given upstreams "desk-1 desk-2 desk-3" state a limit of 3 requests a second
    When 40 lookups per second of service "desk" for 12 s, seed 41
    Then every call under load was answered or refused as not run
    And no limited upstream has got more requests than its limit allows
    And the limited upstreams together have got at least 60 % of what they take

  # Guards against a daemon that starts anew and grants what another has granted already.
  @known_red
  Scenario: The coordinating daemon is killed
    Given upstreams "desk-1 desk-2 desk-3" state a limit of 3 requests a second
    And 40 lookups per second of service "desk" for 16 s, seed 42
    When the daemon that coordinates service "desk" is killed
    And the killed daemon is started again
    Then no call under load but those of the killed daemon was lost
    And no limited upstream has got more requests than its limit allows
