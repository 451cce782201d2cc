Feature: Gateways admit calls through slot permits

  Scenario: Calls at 80% load are all answered without exceeding any slot limit
    Given a permit fleet of 14 gateways and 13 upstreams with 3 slots, seed 1
    When the permit fleet handles 1560 calls a second for 2 seconds
    Then the permit fleet has answered every call
    And no upstream of the permit fleet ran more calls than its slots
