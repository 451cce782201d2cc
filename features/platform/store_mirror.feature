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
