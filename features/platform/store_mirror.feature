Feature: A gateway serves a mirror of the store

  # Guards against followers that stay outdated together with a relay that has lost the
  # store, because their watches are answered only at the end of their wait.
  Scenario: While the store is lost, a watch is answered at once
    Given a mirror of the store at revision 5
    When the mirror's gateway loses the store
    And another gateway watches for changes after 5
    Then the answer to the watch has no change and reports the store as lost

  Scenario: An open watch is answered when the store is lost
    Given a mirror of the store at revision 5
    When another gateway watches for changes after 5
    Then the watch stays open
    When the mirror's gateway loses the store
    Then the answer to the watch has no change and reports the store as lost

  Scenario: An open watch is answered when a change arrives
    Given a mirror of the store at revision 5
    When another gateway watches for changes after 5
    And a change at revision 6 arrives
    Then the answer to the watch has 1 change and reports the store as available

  Scenario: A watch from before the known changes is told to read everything again
    Given a mirror of the store at revision 5
    When another gateway watches for changes after 3
    Then the watch is answered with 410

  # Guards against calls to the store at the first start: gateways whose relay has read
  # nothing yet would read the store instead.
  Scenario: A read waits until the mirror has read the store
    Given a mirror that has not read the store yet
    When another gateway reads all items
    Then the read stays open
    When a change at revision 6 arrives
    Then the read is answered with 1 item

  # Guards against a relay that cannot send a whole replica of thousands of entries to
  # its followers within their timeout, as each copy is encoded and sent at full length.
  Scenario: A long replica is compressed once for all followers
    Given a mirror of a store with 500 entries at revision 600
    When 40 other gateways read all items within a moment
    Then each of them decodes 500 items
    And the replica was encoded once, to less than a quarter of its length

  Scenario: A reader that does not ask for it gets no compressed answer
    Given a mirror of a store with 500 entries at revision 600
    When another gateway reads all items
    Then the read is answered with 500 items

  Scenario: A compressed answer that was cut off is refused
    Given a mirror of a store with 500 entries at revision 600
    When 1 other gateways read all items within a moment
    Then its answer without its last 100 bytes is refused
