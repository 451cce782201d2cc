Feature: A request that crashes its upstreams is refused

  Background:
    Given a local fleet of 3 daemons with 5 upstreams per service

  Scenario: The request is refused after two crashes and look-alikes pass
    Given crashed upstreams are started again at once
    And 40 lookups per second of service "desk" for 15 s, seed 51
    When a crashing request is sent 5 times to service "desk"
    Then the last 2 crashing requests are refused as not run
    And at most 2 upstreams have crashed
    When 20 look-alike requests are sent to service "desk"
    Then every caller got its own whole answer
