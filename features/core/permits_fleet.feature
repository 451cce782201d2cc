Feature: Gateways admit calls through slot permits

  Scenario: Calls at 80% load are all answered without exceeding any slot limit
    Given a permit fleet of 14 gateways and 13 upstreams with 3 slots, seed 1
    When the permit fleet handles 1560 calls a second for 2 seconds
    Then the permit fleet has answered every call
    And no upstream of the permit fleet ran more calls than its slots

  # Guards against a configuration key that is accepted and has no effect.
  Scenario: The configuration text caps the slots of the host list
    Given a permit fleet of 3 gateways and 5 upstreams with 3 slots, 1 by the text
    When the permit fleet handles 100 calls a second for 2 seconds
    Then the permit fleet has answered every call
    And no upstream of the permit fleet ran more than 1 call at a time

  # Guards against a service that becomes unavailable when its coordinator fails.
  Scenario: No call fails when a coordinator is killed, and it is replaced within 2.5 s
    Given a permit fleet of 6 gateways and 5 upstreams with 3 slots, seed 2
    When the permit fleet handles 300 calls a second for 1 seconds
    And the coordinator of the permit fleet is killed
    And the permit fleet handles 300 calls a second for 4 seconds
    Then the permit fleet has answered every call
    And another gateway coordinates the permit fleet with a higher epoch
    And the highest wait in the permit fleet was below 500 ms

  Scenario: A coordinator that leaves gracefully hands over its role and permits
    Given a permit fleet of 6 gateways and 5 upstreams with 3 slots, seed 3
    When the permit fleet handles 300 calls a second for 1 seconds
    And the coordinator of the permit fleet leaves gracefully
    And the permit fleet handles 300 calls a second for 1 seconds
    Then the permit fleet has answered every call
    And another gateway coordinates the permit fleet with a higher epoch
    And the gateway that leaves holds no permits in the permit fleet
    And no upstream of the permit fleet ran more calls than its slots

  Scenario: Releases of one reactor turn are sent in one message
    Given a permit fleet of 2 gateways and 5 upstreams with 3 slots, seed 4
    When the other gateway of the permit fleet ends 4 calls in one turn under contention
    Then the permit fleet has sent 1 message of class "Release" for them

  Scenario: A cancelled call leaves the queue and a second release has no effect
    Given a permit fleet of 2 gateways and 1 upstreams with 1 slots, seed 5
    When a call of the permit fleet is cancelled while another one runs
    Then the permit fleet then admits one more call
    And a second release in the permit fleet changes nothing

  Scenario: The status snapshot counts permits in use at the gateway and granted in all
    Given a permit fleet of 2 gateways and 1 upstreams with 3 slots, seed 7
    When each gateway of the permit fleet starts a call
    Then the coordinator's snapshot in the permit fleet shows 1 in use and 2 granted

  Scenario Outline: The baseline "<policy>" admits at once and limits no slots
    Given a permit fleet of 2 gateways and 3 upstreams with policy "<policy>"
    When 60 calls arrive at one gateway of the permit fleet at once
    Then the permit fleet runs 60 calls, on "<upstreams>" upstreams

    Examples:
      | policy      | upstreams |
      | random      | all       |
      | two_choices | all       |
      | reports     | one       |
