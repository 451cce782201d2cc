Feature: Gateways find each other without the store

  # Guards against a gateway that never learns of other members of its zone.
  Scenario: All gateways of a zone know each other within two seconds
    Given 6 gateways in zones "a a a b b c" with seeds "g1 g4"
    When 2 s of gossip pass
    Then every gateway knows its zone

  # Guards against gateways that can only find each other while the seeds are up.
  Scenario: A gateway that restarts while the seeds are down is found again
    Given 6 gateways in zones "a a a b b c" with seeds "g1 g4"
    When 2 s of gossip pass
    And gateways "g1 g4" stop
    And 2 s of gossip pass
    And gateway "g3" restarts
    And 6 s of gossip pass
    Then gateway "g3" knows "g2"
    And gateway "g2" knows "g3" in its new incarnation

  # Guards against counts of calls in progress that are kept for a stopped gateway.
  Scenario: A silent gateway of the zone is removed
    Given 3 gateways in zones "a a a" with seeds "g1"
    When 2 s of gossip pass
    And gateways "g3" stop
    And 2 s of gossip pass
    Then gateway "g1" knows "g2"

  # Guards against a delayed greeting of a former process that replaces the state of the
  # current one.
  Scenario: An older incarnation changes nothing
    Given 2 gateways in zones "a a" with seeds "g1"
    When 2 s of gossip pass
    And gateway "g1" is greeted by "g2" of incarnation 0
    Then gateway "g1" knows "g2" of incarnation 1

  # Guards against member lists in every greeting, which use bandwidth between zones.
  Scenario: Members are listed only for gateways that ask for them
    Given 6 gateways in zones "a a a b b c" with seeds "g1 g4"
    When 2 s of gossip pass
    Then an answer lists members only if the greeting asks for them

  # Guards against a malformed datagram that stops the receiving task.
  Scenario: A malformed datagram is refused
    Then the datagrams "hex:00 hex:93010203 hex:c1" are refused
