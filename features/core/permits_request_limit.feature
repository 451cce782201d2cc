Feature: A service's permits keep the request limit that an upstream states

  # Guards against permits that are used again and again at an upstream in need.
  @known_red
  Scenario: The coordinator keeps the limits of some upstreams
    Given a permit fleet of 14 gateways and 13 upstreams with 3 slots, seed 8
    When the permit fleet handles 130 calls a second for 1 seconds
    And 9 upstreams of the permit fleet state a limit of 3 requests a second
    And the permit fleet handles 130 calls a second for 8 seconds
    Then no upstream of the permit fleet has got more requests than its limit allows
