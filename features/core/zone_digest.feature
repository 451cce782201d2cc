Feature: The load updates of a large zone go through one aggregator

  # Guards against a number of datagrams that grows with the square of the members.
  Scenario: A gateway of a large zone sends its updates once and receives digests
    Given a zone of 30 gateways that share 12 upstreams
    When 3 s of load updates pass with 200 calls per second
    And 3 s of load updates pass with 200 calls per second
    Then one gateway aggregates for the whole zone
    And the others send at most 20 datagrams per second on average, the aggregator 200

  # Guards against counts that stay wrong after datagrams were lost.
  Scenario: Counts converge after datagrams were lost
    Given a zone of 30 gateways that share 12 upstreams
    And one datagram in 5 is lost
    When 3 s of load updates pass with 200 calls per second
    And 2 s of load updates pass without calls
    Then every gateway counts no call of others

  # Guards against gateways that select the same upstream because they do not know of
  # each other's calls.
  Scenario: A call is known to the whole zone after the next digest
    Given a zone of 30 gateways that share 12 upstreams
    When 3 s of load updates pass with 200 calls per second
    And 1 s of load updates pass without calls
    And gateway "g7" begins 2 calls at upstream "u3"
    And 0.25 s of load updates pass without calls
    Then every other gateway counts 2 calls at upstream "u3"

  # Guards against a zone without counts after its aggregator has failed.
  Scenario: The next gateway aggregates when the aggregator is silent
    Given a zone of 30 gateways that share 12 upstreams
    When 3 s of load updates pass with 200 calls per second
    And the aggregator stops
    And 2 s of load updates pass with 200 calls per second
    Then one gateway aggregates for the whole zone
    When 1 s of load updates pass without calls
    And gateway "g7" begins 2 calls at upstream "u3"
    And 0.25 s of load updates pass without calls
    Then every other gateway counts 2 calls at upstream "u3"

  # Guards against counted calls of a gateway that has stopped.
  Scenario: The counts of a silent gateway are dropped
    Given a zone of 30 gateways that share 12 upstreams
    When 3 s of load updates pass with 200 calls per second
    And 1 s of load updates pass without calls
    And gateway "g7" begins 2 calls at upstream "u3"
    And gateway "g7" stops
    And 2.5 s of load updates pass without calls
    Then every gateway counts no call of others

  # Guards against aggregation on hosts with a slow processor or network link.
  Scenario: The gateway with the most capacity aggregates
    Given a zone of 30 gateways that share 12 upstreams
    And gateway "g19" has twice the capacity of the others
    When 6 s of load updates pass with 200 calls per second
    Then gateway "g19" aggregates for the whole zone

  # Guards against a request that crashes upstreams through gateways of other zones that
  # have not received the mark.
  Scenario: A crash mark reaches all gateways of all zones
    Given 3 zones of 10 gateways each
    When 6 s of load updates pass with 0 calls per second
    And gateway "g7" marks a request that crashed an upstream
    And 0.1 s of load updates pass without calls
    Then every other gateway has received the mark once

  # Guards against a stopping gateway that cuts its own connections and reports them as
  # crashes; such a report made the other gateways refuse a harmless request for 30 s.
  Scenario: A stopped gateway marks no request
    Given 3 zones of 10 gateways each
    When 6 s of load updates pass with 0 calls per second
    And gateway "g7" stops and then marks a request that crashed an upstream
    And 0.1 s of load updates pass without calls
    Then no gateway has received the mark

  # Guards against full reads of the store by a whole zone because one of its gateways has
  # missed a restore of the store, and against a contact with the store from before it.
  Scenario: A digest tells the newest position among two generations of the store
    When an aggregator hears of these positions
      | gateway | generation | revision | uninterrupted_s |
      | g2      | 1          | 150      | 60              |
      | g3      | 2          | 120      | 3               |
      | g4      | 2          | 110      | 5               |
    Then its digest tells revision 120 of generation 2, answered for 5 s
