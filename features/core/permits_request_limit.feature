Feature: A service's permits keep the request limit that an upstream states

  # Guards against permits that are used again and again at an upstream in need.
  Scenario: The coordinator keeps the limits of some upstreams
    Given a permit fleet of 14 gateways and 13 upstreams with 3 slots, seed 8
    When the permit fleet handles 130 calls a second for 1 seconds
    And 9 upstreams of the permit fleet state a limit of 3 requests a second
    And the permit fleet handles 130 calls a second for 8 seconds
    Then no upstream of the permit fleet has got more requests than its limit allows
    And the permit fleet has answered every call

  # Guards against callers that wait for upstreams that take no more requests, and against
  # requests that a limit leaves and nobody gets.
  Scenario: Callers get what the limits of all upstreams leave
    Given a permit fleet of 14 gateways and 13 upstreams with 3 slots, seed 9
    When the permit fleet handles 100 calls a second for 1 seconds
    And 13 upstreams of the permit fleet state a limit of 2 requests a second
    And the permit fleet handles 100 calls a second for 8 seconds
    Then no upstream of the permit fleet has got more requests than its limit allows
    And the limited upstreams of the permit fleet have got 80 % of what they take
    And 90 % of the calls that the permit fleet refuses are refused at once

  # Guards against gateways that each take the whole limit while nobody coordinates.
  Scenario: The limits are kept while the coordinator changes
    Given a permit fleet of 6 gateways and 5 upstreams with 3 slots, seed 10
    When the permit fleet handles 60 calls a second for 1 seconds
    And 5 upstreams of the permit fleet state a limit of 4 requests a second
    And the permit fleet handles 60 calls a second for 4 seconds
    And the coordinator of the permit fleet is killed
    And the permit fleet handles 60 calls a second for 6 seconds
    Then no upstream of the permit fleet has got more requests than its limit allows
    And the limited upstreams of the permit fleet have got 50 % of what they take

  # Guards against limits of which the coordinator and gateways without a link to it each
  # use the whole.
  Scenario: The limits are kept while gateways are cut off from the coordinator
    Given a permit fleet of 13 gateways and 13 upstreams with 3 slots, seed 12
    When the permit fleet handles 200 calls a second for 1 seconds
    And 13 upstreams of the permit fleet state a limit of 6 requests a second
    And the permit fleet handles 200 calls a second for 4 seconds
    And 6 gateways of the permit fleet are cut off from all others
    And the permit fleet handles 200 calls a second for 6 seconds
    And no gateway of the permit fleet is cut off any more
    And the permit fleet handles 200 calls a second for 4 seconds
    Then no upstream of the permit fleet has got more requests than its limit allows
    And the limited upstreams of the permit fleet have got 60 % of what they take

  # Guards against a limit that holds for ever, as no answer tells that it is lifted.
  Scenario: An upstream that took no request is used again once it states no limit
    Given a permit fleet of 6 gateways and 4 upstreams with 3 slots, seed 11
    When the permit fleet handles 60 calls a second for 1 seconds
    And 4 upstreams of the permit fleet state a limit of 0 requests a second
    And the permit fleet handles 60 calls a second for 9 seconds
    Then no upstream of the permit fleet has got more requests than its limit allows
    When the upstreams of the permit fleet state no limit any more
    And the permit fleet handles 60 calls a second for 5 seconds
    And the permit fleet handles 60 calls a second for 2 seconds, which are counted
    Then the permit fleet has answered every counted call
