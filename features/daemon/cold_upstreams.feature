Feature: Gateways together spare upstreams that are cold

  # Guards against a zone whose upstreams come back together and crash under the calls
  # of all gateways.
  Scenario Outline: <gateways> gateways spare a zone of cold upstreams
    Given <gateways> gateways in 3 zones, with <upstreams> upstreams that take 6.1 requests a second while cold
    When callers make <rate> calls to these for 2 s
    And the upstreams of a zone become cold for 3 s, as their <sign> tell
    And callers make <rate> calls to these for 5 s
    Then no cold upstream gets more requests in a second than it tolerates
    And the cold upstreams get requests
    And at least 90 % of these calls are placed

    Examples:
      | gateways | upstreams | rate | sign           |
      | 13       | 12        | 120  | entries        |
      | 13       | 12        | 120  | health answers |
      | 40       | 24        | 300  | entries        |
      | 40       | 24        | 300  | health answers |

  # Guards against calls in a queue that are all sent as the upstreams come back.
  Scenario: Cold upstreams are spared by calls that wait for room
    Given 40 gateways in 3 zones, with 24 upstreams that take 6.1 requests a second while cold, and calls that wait for room
    When callers make 300 calls to these for 2 s
    And the upstreams of a zone become cold for 3 s, as their entries tell
    And callers make 300 calls to these for 5 s
    Then no cold upstream gets more requests in a second than it tolerates
    And at least 90 % of these calls are placed

  # Guards against gateways that know nothing of who is cold after their own restart.
  Scenario: Gateways that have all just started spare cold upstreams
    Given 13 gateways in 3 zones, with 12 upstreams that take 6.1 requests a second while cold
    When callers make 120 calls to these for 2 s
    And the upstreams of a zone become cold for 3 s, as their entries tell
    And all gateways of these are restarted
    And callers make 120 calls to these for 5 s
    Then no cold upstream gets more requests in a second than it tolerates

  # Guards against a limit that is forgotten with the gateway that places the calls.
  Scenario: Cold upstreams are spared when the gateways that place calls are killed
    Given 40 gateways in 3 zones, with 24 upstreams that take 6.1 requests a second while cold
    When callers make 300 calls to these for 2 s
    And the upstreams of a zone become cold for 3 s, as their entries tell
    And callers make 300 calls to these for 0.5 s
    And the aggregators of these are killed
    And callers make 300 calls to these for 4 s
    Then no cold upstream gets more requests in a second than it tolerates

  # Guards against a zone that is taken back after an evacuation and gets all calls at once.
  Scenario: Upstreams of a zone that is taken back are spared
    Given 13 gateways in 3 zones, with 12 upstreams that take 6.1 requests a second while cold
    When a zone of these is evacuated
    And callers make 120 calls to these for 2 s
    And the zone is taken back, whose upstreams have become cold for 3 s
    And callers make 120 calls to these for 5 s
    Then no cold upstream gets more requests in a second than it tolerates
    And the cold upstreams get requests

  # Guards against a keeper that has not heard that an upstream is cold, and grants what
  # the upstream states instead.
  Scenario: A keeper that knows a stated limit keeps to the lower rate of a cold upstream
    Given 1 gateways in 1 zones, with 2 upstreams that take 2 requests a second while cold
    When an upstream states a limit of 50 requests a second
    Then its keeper grants at most 11 queries in 1 s that call the upstream cold
