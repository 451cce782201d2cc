Feature: Gateways together keep the request limit that an upstream states

  # Guards against gateways that send an upstream in need far more than it takes: on the
  # capped day of huye-inyandiko, 34 requests in 4 s with a limit of 2.9 a second.
  Scenario: 14 gateways keep the limits of some upstreams
    Given 14 gateways in 3 zones, with 13 upstreams whose requests are counted
    When callers make 130 calls a second for 1 s
    And 9 of the upstreams state a limit of 3 requests a second
    And callers make 130 calls a second for 9 s
    Then no upstream has got more requests than its limit allows

  # Guards against health probes beyond the limit: with few calls at an upstream, its
  # load report is stale and is renewed several times a second.
  Scenario: Health probes count towards the limit
    Given 6 gateways in 1 zones, with 4 upstreams whose requests are counted
    When callers make 8 calls a second for 1 s
    And 4 of the upstreams state a limit of 1 requests a second
    And callers make 8 calls a second for 9 s
    Then no upstream has got more requests than its limit allows
