Feature: A gateway follows the store and acts on what it hears

  # Guards against a gateway that misses a change.
  Scenario: A change is heard through one watch over all keys
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store writes configuration 4 and removes upstream "i-2"
    And 1 s passes
    Then the gateway has configuration 4 and uses "i-1"

  # Guards against the price of a call for each of many changes that come together.
  Scenario: Changes that come together cost few calls
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When the store writes 20 upstreams within 1 s
    And 1 s passes
    Then the gateway has made at most 6 calls

  # Guards against an older version that comes back.
  Scenario: An older version of the configuration is not adopted
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When the store writes configuration 2
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against half a configuration after a damaged record.
  Scenario: A damaged record changes nothing
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When the store writes "b3BlcmF0b3I=" under the configuration's key
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against a gap after the store has dropped its history.
  Scenario: After lost history everything is read again
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store drops its history and removes upstream "i-2" unheard
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against a watch that hangs without an error while others hear the changes.
  Scenario: A silent watch is given up when another gateway knows more
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When the store falls silent towards the gateway's watch and writes configuration 4
    And another gateway tells the store's revision
    And 1 s passes
    Then the gateway has configuration 4 and uses "i-1"

  # Guards against a gateway that knows nothing while the store turns only it away.
  Scenario: Turned away by the store, a gateway follows another one's copy
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store turns the gateway away
    And the store writes configuration 4 and removes upstream "i-2"
    And 3 s pass by
    Then the gateway has configuration 4 and has asked a copy

  # Guards against upstreams that are dropped because their entries lapsed in an outage.
  Scenario: Entries that lapsed in an outage are kept until they are back
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store is down for 5 s and loses upstreams "i-1 i-2"
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1 i-2"
    When the store writes upstreams "i-1"
    And 2.5 s pass by
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against DRAIN, seeds hunt-3052-7 and hunt-3052-19 of piton-gate: a removal
  # 2.1 s after the store's return was held for 2.2 s more.
  Scenario: The grace for lapsed entries counts from the store's return
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store is down for 5 s and loses upstreams ""
    And 1.7 s pass by
    And the store removes upstream "i-2"
    And 1.2 s pass by
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against DRAIN, scale-2 of huye-inyandiko: a removal that a gateway missed
  # while it was cut off was taken for a lapse.
  Scenario: A removal is believed if the store has answered another gateway throughout
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store is down for 5 s and loses upstreams "i-2"
    And 0.5 s pass by
    And another gateway tells that the store has answered it for 60 s
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against requests for an address that another server has now.
  Scenario: An upstream with another server at its address is not used
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When another server answers at the address of "i-2"
    Then the gateway has configuration 3 and uses "i-1"
    When the store writes upstreams "i-2" anew
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1 i-2"

  # Guards against a call of the store by every gateway for every change.
  Scenario: A gateway that follows a relay makes no calls of the store
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows a relay
    When the store writes configuration 4 and removes upstream "i-2"
    And 1 s passes
    Then the gateway has configuration 4 and uses "i-1"
    And the gateway has made no call of the store

  # Guards against a gateway that is as blind as its relay.
  Scenario: A relay that falls behind is left for the store
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows a relay
    When the store falls silent towards the gateway's watch and writes configuration 4
    And another gateway tells the store's revision
    And 1 s passes
    Then the gateway has configuration 4 and uses "i-1"

  Scenario: A relay that is gone is left for the store
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows a relay
    When the relay turns the gateway away
    And the store writes configuration 4
    And 1 s passes
    Then the gateway has configuration 4 and uses "i-1"

  Scenario: A relay that the store does not answer is left for the store
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows a relay
    When the relay tells that it has lost the store
    And the store writes configuration 4
    And 1 s passes
    Then the gateway has configuration 4 and uses "i-1"

  # Guards against upstreams that are dropped by those that follow a relay, because
  # their entries lapsed while the store did not answer the relay.
  Scenario: Missing entries are judged as the relay does
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows a relay
    When the relay tells that it lost the store 5 s ago and regained it 0.5 s ago
    And the store removes upstream "i-2"
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1 i-2"
    When 1.5 s pass by
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against gateways that stay with a relay that is not one any more.
  Scenario: Another relay is followed when the members change
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows a relay
    When the gateway's relay is another one
    And 1 s passes
    Then the gateway has asked the other relay

  # Guards against DRAIN, scale-2 424115401566 of piton-gate: a gateway that came back
  # to its relay after a cut still held itself for cut off, and kept removed entries.
  Scenario: A gateway that hears from its relay again is not cut off any more
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows a relay
    When the gateway is cut from the relay and the store for 2 s
    And the relay is back
    And 4 s pass by
    And the store removes upstream "i-2"
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against a gateway that restarts in an outage of the store and knows nothing.
  Scenario: A gateway that knows nothing takes a copy that may be out of date
    Given a store with configuration 3 and upstreams "i-1"
    When the store is down and other gateways have lost it
    And a gateway starts that finds their copies
    And 2 s pass by
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against the bytes of whole copies between zones, trouble-3 of piton-gate: 0.34
  # of the day's worth in an outage of 8 s.
  Scenario: In an outage, copies are not read in whole again
    Given a store with configuration 3 and upstreams "i-1"
    When the store is down and other gateways have lost it
    And a gateway starts that finds their copies
    And 8 s pass by
    Then the copies have been read in whole once

  # Guards against a call of the store by half a zone when one relay is lost: 2,230
  # calls were made on trouble-1 of huye-inyandiko-grown.
  Scenario: Another relay takes the place of one that fails
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that may follow either of two relays
    When the relay turns the gateway away
    And the store writes configuration 4 and removes upstream "i-2"
    And 1 s passes
    Then the gateway has configuration 4 and uses "i-1"
    And the gateway has asked the other relay
    And the gateway has made no call of the store

  # Guards against calls of the store by all gateways that start together: each reads it
  # at once and watches it until it knows its zone.
  Scenario: A gateway leaves the store when it hears of a relay
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that hears of no relay
    When the gateway's relay is another one
    And the store is quiet for 10 s
    Then the gateway's calls have cost at most 0 full reads
    When the store writes configuration 4
    And 1 s passes
    Then the gateway has configuration 4 and uses "i-1"

  # Guards against CONFIG, scale-2 of huye-inyandiko, seed 337555663575: both relays of a
  # zone were cut from the store and took 3 s to notice, longer than the 2 s in which a
  # configuration has to be in force.
  Scenario: A store that has gone silent is noticed within 1.6 s
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When the store falls silent towards the gateway's watch and writes configuration 4
    And 1.6 s pass by
    Then the gateway has configuration 4 and uses "i-1"

  # Guards against a change that only a stale read beside a silent watch tells of.
  Scenario: A watch that misses a change is given up
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When only the gateway's watch falls silent as configuration 4 is written
    And 1.6 s pass by
    Then the gateway has configuration 4 and uses "i-1"

  # Guards against the price of noticing a silent store: watches of 1 s took 0.02 of a
  # quiet day of huye-inyandiko.
  Scenario: A quiet store is followed at a low price
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When the store is quiet for 30 s
    Then the gateway's calls have cost at most 12 full reads
