Feature: The aggregator of a large zone places the calls of its gateways

  Background:
    Given 10 gateways whose aggregator places their calls at 12 upstreams of 3 slots

  # Guards against gateways that choose the same upstream at the same time, as each
  # decides without knowing of the others' calls.
  Scenario: Simultaneous calls are spread over the upstreams
    When all gateways together place 24 calls
    Then no upstream has more than 2 calls

  # Guards against calls into an evacuated zone that are placed by an aggregator which has
  # not heard of the evacuation.
  Scenario: A gateway does not send calls to upstreams that it knows to be evacuated
    When all gateways but the aggregator hear that 6 upstreams are evacuated
    And the other gateways together place 10 calls
    Then each of them is placed at another upstream
    And 1 s passes in the zone
    And the aggregator counts no call at the evacuated upstreams

  # Guards against calls that stay counted after their end, or are counted twice.
  Scenario: Ended calls are not counted
    When all gateways together place 24 calls
    And all calls end
    Then the aggregator counts 0 calls

  # Guards against calls that stay counted because the datagram about their end is lost.
  Scenario: A call whose end was lost is not counted
    When all gateways together place 24 calls
    And all calls end while datagrams are lost
    And 1 s passes in the zone
    Then the aggregator counts 0 calls

  # Guards against calls that stay counted because their gateway has crashed.
  Scenario: The calls of a killed gateway are not counted
    When all gateways together place 24 calls
    And every gateway but the aggregator is killed
    And 2 s pass in the zone
    Then the aggregator counts its own calls only

  # Guards against calls that wait for an aggregator that has crashed.
  Scenario: Calls are placed without the aggregator
    When the aggregator is killed
    And the other gateways together place 18 calls
    Then each of them is placed within 0.07 s
    When 1 s passes in the zone
    And the other gateways together place 9 calls
    Then each of them is placed within 0.01 s

  # Guards against a refusal that loses its reason or its retry time.
  Scenario: A refusal reaches the gateway that asked
    When all gateways together place 36 calls
    And one gateway places a call while 36 others take all slots
    Then it is refused with "no upstream can answer in time"

  # Guards against a slot that stays taken by a call whose caller has disconnected.
  Scenario: A call that is cancelled while it is placed is not counted
    When one gateway cancels a call at once
    Then the aggregator counts 0 calls

  # Guards against redundant health probes: each upstream needs one prober per zone.
  Scenario: Each upstream is probed by one gateway
    When calls are made for 2 s
    Then each upstream is probed 4 to 10 times per second

  # Guards against a slow call without a hedged attempt: its gateway has no load reports
  # of the upstream that are as new as the aggregator's.
  Scenario: The gateway of a call is notified that its answer is late
    When one gateway places a call
    And its upstream becomes slow
    Then the gateway is notified that the call is late

  # Guards against a process that has not run for a while and takes a reply that lies in
  # its socket for lost.
  Scenario: A reply that has arrived in time is read by a gateway that stalls
    When one gateway stalls for 0.1 s while the reply to its call arrives
    Then the call is placed by the aggregator

  # Guards against a quota that is charged twice for a call whose reply was lost.
  Scenario: A call whose reply was lost is placed and charged once
    When one gateway places a call whose reply is lost
    Then the aggregator gives back the quota of 1 call
    And the aggregator counts 1 calls

  # Guards against slots that stay taken as the network has delivered a query twice.
  Scenario: A query that is delivered twice places one call
    When every placement datagram is delivered twice
    And all gateways together place 18 calls
    Then the aggregator counts 18 calls
    When all calls end
    Then the aggregator counts 0 calls

  # Guards against a count of calls that grows as services are dropped with calls running.
  Scenario: A call ends after its service has been dropped
    When one gateway places a call
    And its service is dropped before the call ends
    Then its gateway counts no call as placed by the aggregator

  # Guards against calls that wait at a gateway which does not know who else waits.
  Scenario: A call whose upstream is known to be evacuated does not wait at its gateway
    Given 10 gateways whose calls wait for room at 4 upstreams of 4 slots
    When all gateways but the aggregator hear that 3 upstreams are evacuated
    And the other gateways together place 12 calls
    And the other gateways together place 12 calls
    Then no call waits at a gateway other than the aggregator
