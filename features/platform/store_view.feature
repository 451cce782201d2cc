Feature: A gateway follows the store and applies its changes

  # Guards against missed changes: one watch has to cover the configuration and upstreams.
  Scenario: A change arrives through one watch over all keys
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store writes configuration 4 and removes upstream "i-2"
    And 1 s passes
    Then the gateway has configuration 4 and uses "i-1"

  # Guards against one charged call per change when many changes are written together.
  Scenario: Changes that are written together take few calls
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When the store writes 20 upstreams within 1 s
    And 1 s passes
    Then the gateway has made at most 6 calls

  # Guards against a rollback when an older version is written under the key.
  Scenario: An older version of the configuration is not adopted
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When the store writes configuration 2
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against a partly applied configuration when its record is damaged.
  Scenario: A damaged record changes nothing
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When the store writes "b3BlcmF0b3I=" under the configuration's key
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against a missed removal when the store drops the changes that a watch needs.
  Scenario: After dropped history, everything is read again
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store drops its history and removes upstream "i-2" without notice
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against a watch that hangs without an error while other gateways receive the
  # changes.
  Scenario: A hanging watch is cancelled when another gateway reports a newer revision
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When the gateway's watch and stale reads hang while the store writes configuration 4
    And another gateway reports the store's revision
    And 1 s passes
    Then the gateway has configuration 4 and uses "i-1"

  # Guards against an outdated gateway when the store rejects it but answers others.
  Scenario: A gateway that the store rejects follows another gateway's mirror
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store rejects the gateway's calls
    And the store writes configuration 4 and removes upstream "i-2"
    And 3 s pass by
    Then the gateway has configuration 4 and has read a mirror

  # Guards against dropped upstreams when their entries expire in an outage of the store
  # and are written again only after it.
  Scenario: Upstreams whose entries expired in an outage are kept for a grace period
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store is down for 5 s and the entries of upstreams "i-1 i-2" expire
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1 i-2"
    When the store writes upstreams "i-1"
    And 2.5 s pass by
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against requests to a removed upstream: a removal 2.1 s after the store's
  # recovery was taken for an expired entry and delayed by another 2.2 s.
  Scenario: The grace period for expired entries starts when the store recovers
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store is down for 5 s and the entries of upstreams "" expire
    And 1.7 s pass by
    And the store removes upstream "i-2"
    And 1.2 s pass by
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against requests to a removed upstream: a removal that a gateway missed while it
  # was partitioned from the store was taken for an expired entry.
  Scenario: A removal is applied at once if the store kept answering another gateway
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store is down for 5 s and the entries of upstreams "i-2" expire
    And 0.5 s pass by
    And another gateway reports that the store has answered it for 60 s
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against requests to a removed upstream at a gateway that hears from the store
  # later than others: entries that expired are back 2.2 s after the store's return.
  Scenario Outline: The grace period starts when the store answers any gateway again
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store is down for 5 s and the entries of upstreams "i-2" expire
    And 0.5 s pass by
    And another gateway reports that the store has answered it for <seconds> s
    Then the gateway has configuration 3 and uses "<upstreams>"

    Examples:
      | seconds | upstreams |
      | 2.3     | i-1       |
      | 2.0     | i-1 i-2   |

  # Guards against further requests to an address that another server has taken over.
  Scenario: An upstream with another server at its address is not used
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When another server answers at the address of "i-2"
    Then the gateway has configuration 3 and uses "i-1"
    When the store writes upstreams "i-2" with a new address
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1 i-2"

  # Guards against a charged call by every gateway for every change.
  Scenario: A gateway that follows a relay makes no calls to the store
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows a relay
    When the store writes configuration 4 and removes upstream "i-2"
    And 1 s passes
    Then the gateway has configuration 4 and uses "i-1"
    And the gateway has made no call to the store

  # Guards against a gateway that stays outdated together with its relay.
  Scenario: A relay that falls behind is replaced by the store
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows a relay
    When the gateway's watch and stale reads hang while the store writes configuration 4
    And another gateway reports the store's revision
    And 1 s passes
    Then the gateway has configuration 4 and uses "i-1"

  Scenario: A relay that fails is replaced by the store
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows a relay
    When the relay rejects the gateway's calls
    And the store writes configuration 4
    And 1 s passes
    Then the gateway has configuration 4 and uses "i-1"

  Scenario: A relay that has lost the store is replaced by the store
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows a relay
    When the relay reports that it has lost the store
    And the store writes configuration 4
    And 1 s passes
    Then the gateway has configuration 4 and uses "i-1"

  # Guards against dropped upstreams at the followers of a relay when the entries expired
  # while the store did not answer the relay.
  Scenario: The grace period follows the relay's outage of the store
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows a relay
    When the relay reports that it lost the store 5 s ago and reached it again 0.5 s ago
    And the store removes upstream "i-2"
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1 i-2"
    When 1.5 s pass by
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against gateways that keep following a gateway that is no longer a relay.
  Scenario: Another relay is followed when the members change
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows a relay
    When another relay is selected for the gateway
    And 1 s passes
    Then the gateway has called the other relay

  # Guards against requests to removed upstreams: after a partition, a gateway that reached
  # its relay again still treated the store as lost and kept the removed entries.
  Scenario: A gateway that reaches its relay again no longer treats the store as lost
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows a relay
    When the gateway is partitioned from the relay and the store for 2 s
    And the relay is reachable again
    And 4 s pass by
    And the store removes upstream "i-2"
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against a gateway without data when it restarts in an outage of the store.
  Scenario: A gateway with an empty replica accepts a mirror that may be out of date
    Given a store with configuration 3 and upstreams "i-1"
    When the store is down and other gateways have lost it
    And a gateway starts that finds their mirrors
    And 2 s pass by
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against repeated full reads of mirrors in other zones: in an outage of 8 s, they
  # cost 0.34 of the value of a whole test run.
  Scenario: In an outage, mirrors are not read in full again
    Given a store with configuration 3 and upstreams "i-1"
    When the store is down and other gateways have lost it
    And a gateway starts that finds their mirrors
    And 8 s pass by
    Then the mirrors have been read in full once

  # Guards against calls to the store by half of a zone when one of its relays fails; in a
  # large fleet, 2,230 calls were made.
  Scenario: Another relay takes the place of one that fails
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that may follow either of two relays
    When the relay rejects the gateway's calls
    And the store writes configuration 4 and removes upstream "i-2"
    And 1 s passes
    Then the gateway has configuration 4 and uses "i-1"
    And the gateway has called the other relay
    And the gateway has made no call to the store

  # Guards against calls to the store by all gateways that start together: each reads the
  # store at once and would keep watching it after the zone's relays are known.
  Scenario: A gateway stops watching the store when it learns of a relay
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that knows no relay
    When another relay is selected for the gateway
    And nothing changes in the store for 10 s
    Then the gateway's calls have cost at most 0 full reads
    When the store writes configuration 4
    And 1 s passes
    Then the gateway has configuration 4 and uses "i-1"

  # Guards against a late configuration: both relays of a zone were partitioned from the
  # store and needed 3 s to detect it, but a configuration must take effect within 2 s.
  Scenario: A store that stops answering is detected within 1.6 s
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When the gateway's watch and stale reads hang while the store writes configuration 4
    And 1.6 s pass by
    Then the gateway has configuration 4 and uses "i-1"

  # Guards against a missed change when the watch hangs and only stale reads are answered.
  Scenario: A watch that misses a change is cancelled
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When only the gateway's watch hangs while the store writes configuration 4
    And 1.6 s pass by
    Then the gateway has configuration 4 and uses "i-1"

  # Guards against the cost of detecting a store that stops answering: with watches of 1 s,
  # it cost 0.02 of the value of a test run without faults.
  Scenario: Following a store without changes costs little
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When nothing changes in the store for 30 s
    Then the gateway's calls have cost at most 12 full reads

  # Guards against calls to a store that is down by every gateway several times a second: in
  # an outage of 8 s, 115 gateways made 4,000 calls. Relays find out that it is back.
  Scenario: In an outage, a gateway that has relays calls the store rarely
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows a relay
    When the store and all mirrors are down for 8 s
    Then the gateway's calls have cost at most 14 full reads
    When the store and all mirrors answer again
    And the store writes configuration 4
    And 2.2 s passes
    Then the gateway has configuration 4 and uses "i-1"

  # Guards against a recovery that no gateway notices at once.
  Scenario: In an outage, a gateway without a relay tries the store several times a second
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that knows no relay
    When the store and all mirrors are down for 8 s
    And the store and all mirrors answer again
    And the store writes configuration 4
    And 0.6 s passes
    Then the gateway has configuration 4 and uses "i-1"

  # Guards against an entry that takes back what the upstream has said of itself.
  Scenario Outline: An upstream that <source> that it leaves is not used until it starts again
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When <event>
    Then the gateway has configuration 3 and uses "i-1"
    When the store writes upstream "i-2" with 4 slots
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1"
    When the store removes upstream "i-2"
    And 1 s passes
    And the store writes upstreams "i-2"
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1"
    When the store writes upstream "i-2" with the start 1800
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1 i-2"

    Examples:
      | source              | event                                        |
      | states              | upstream "i-2" states that it leaves         |
      | has told another gateway | another gateway hears that upstream "i-2" leaves |
