Feature: The gateways that place the calls of zones lend each other room

  Guards against callers of one zone that are refused while another zone has free slots,
  and against zones that send another one more than it can take.

  Background:
    Given zones "a", "b" and "c" with 10 upstreams of 4 slots each

  Scenario: Calls of a full zone go where there is room, and no more than that
    Given 30 calls in progress in zone "a", 20 in zone "b" and 30 in zone "c"
    When 0.3 s pass between the zones
    Then zone "a" may send 2 calls to zone "b" and 0 to zone "c"
    When zone "a" places 5 calls
    Then 2 of them go to zone "b"

  Scenario: A zone with room asks for none
    Given 10 calls in progress in zone "a", 20 in zone "b" and 20 in zone "c"
    When 0.3 s pass between the zones
    Then no zone has asked for room

  Scenario: A lender that is killed lends nothing any more, and another one takes over
    Given 30 calls in progress in zone "a", 5 in zone "b" and 30 in zone "c"
    When 0.3 s pass between the zones
    And the lender of zone "b" is killed
    And 0.3 s pass between the zones
    Then zone "a" may send 0 calls to zone "b" and 0 to zone "c"
    When the next gateway of zone "b" places its calls
    And 1 s passes between the zones
    Then zone "a" may send 10 calls to zone "b" and 0 to zone "c"

  Scenario: A gateway that places no calls passes a query on once
    Given 30 calls in progress in zone "a", 5 in zone "b" and 5 in zone "c"
    And only the last gateway of zone "b" places calls
    When 0.6 s pass between the zones
    Then zone "a" may send 20 calls to zone "b" and 20 to zone "c"

  Scenario: Nothing is lent of upstreams that are cold or whose load is not known
    Given 30 calls in progress in zone "a", 0 in zone "b" and 30 in zone "c"
    And 5 upstreams of zone "b" are cold and take 4 calls a second
    And 2 upstreams of zone "b" report nothing
    When 0.6 s pass between the zones
    Then zone "a" may send 3 calls to zone "b" and 0 to zone "c"

  Scenario: Where calls do not wait for room, none is borrowed
    Given 30 calls in progress in zone "a", 5 in zone "b" and 5 in zone "c"
    And the calls of the service do not wait for room
    When 0.6 s pass between the zones
    Then no zone has asked for room
