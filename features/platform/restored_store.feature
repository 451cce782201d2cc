Feature: A gateway follows a store that comes back from an older copy

  # Guards against a replica that stays at the revisions from before the restore.
  Scenario Outline: A change after the restore takes effect at <gateway>
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And <gateway>
    When the store is copied
    And the store writes configurations 4 to 8
    And 1 s passes
    And the store is down for 2 s and comes back from the copy
    And the store writes configuration 8
    And 3 s pass by
    And the store writes configuration 9
    And 1 s passes
    Then the gateway has configuration 9 and uses "i-1 i-2"
    And the gateway has made at most 25 calls since the restore

    Examples:
      | gateway                         |
      | a gateway that follows it       |
      | a gateway that follows a relay  |
      | a gateway that knows no relay   |

  # Guards against full reads by every gateway for each datagram from before the restore.
  Scenario: Positions from before the restore cost no calls
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store is copied
    And the store writes configurations 4 to 8
    And 1 s passes
    And the store is down for 2 s and comes back from the copy
    And 1 s passes
    And another gateway reports revision 8 of generation 1 for 5 s
    Then the gateway has made at most 20 calls since the restore

  # Guards against a gateway that stays with a relay from before the restore.
  Scenario: A gateway whose relay has missed the restore reads the store
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows a relay that has missed each restore
    When the store is copied
    And the store writes configurations 4 to 8
    And 1 s passes
    And the store comes back from the copy without notice
    And the store writes configuration 9
    And another gateway reports the store's revision
    And 1 s passes
    Then the gateway has configuration 9 and uses "i-1 i-2"

  # Guards against dropped upstreams that have registered since the copy: without an outage
  # that the gateway notices, there was no grace period.
  Scenario Outline: An upstream that the copy lacks is kept until it can be back at <gateway>
    Given a store with configuration 3 and upstreams "i-1"
    And <gateway>
    When the store is copied
    And the store writes upstreams "i-2 i-3"
    And 1 s passes
    And the store comes back from the copy without notice
    And the relay reports when the store came back
    And 1.5 s pass by
    Then the gateway has configuration 3 and uses "i-1 i-2 i-3"
    When the store writes upstreams "i-2"
    And 2.5 s pass by
    Then the gateway has configuration 3 and uses "i-1 i-2"

    Examples:
      | gateway                         |
      | a gateway that follows it       |
      | a gateway that follows a relay  |

  # Guards against dropped upstreams that have registered since the copy: the contact of
  # another gateway with the store from before the restore ended the grace period.
  Scenario: A contact with the store from before the restore does not end the grace period
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When the store is copied
    And the store writes upstreams "i-2"
    And 1 s passes
    And the store is down for 2 s and comes back from the copy
    And 1 s passes
    And generation 1 of the store is reported to have answered another gateway for 60 s
    Then the gateway has configuration 3 and uses "i-1 i-2"
    When generation 2 of the store is reported to have answered another gateway for 2.3 s
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against requests to upstreams that have left: the copy lists them as live.
  Scenario Outline: An upstream that <departure> since the copy is not used again
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And <gateway>
    When the store is copied
    And the store <event>
    And 1 s passes
    And the store <restore>
    And 1.5 s pass by
    Then the gateway has configuration 3 and uses "i-1"
    When the store comes back from the copy without notice
    And 3 s pass by
    Then the gateway has configuration 3 and uses "i-1"
    When the store removes upstream "i-2"
    And 5 s pass by
    Then the gateway has configuration 3 and uses "i-1"
    When the store writes upstreams "i-2"
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1 i-2"

    Examples:
      | departure | event                        | gateway                        | restore                                       |
      | drains    | writes draining upstream "i-2" | a gateway that follows it      | comes back from the copy without notice       |
      | drains    | writes draining upstream "i-2" | a gateway that follows a relay | is down for 2 s and comes back from the copy  |
      | leaves    | removes upstream "i-2"       | a gateway that follows it      | comes back from the copy without notice       |
      | leaves    | removes upstream "i-2"       | a gateway that follows a relay | is down for 2 s and comes back from the copy  |

  # Guards against upstreams that are never used again because their entry was missing for
  # a moment before the restore.
  Scenario: A removed upstream that the copy lists and that keeps its entry is used again
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store is copied
    And the store removes upstream "i-2"
    And 1 s passes
    And the store is down for 2 s and comes back from the copy
    And 5 s pass by
    Then the gateway has configuration 3 and uses "i-1"
    When 2 s pass by
    Then the gateway has configuration 3 and uses "i-1 i-2"

  # Guards against a started upstream that waits for the end of its former life.
  Scenario: An upstream that has started again since its departure is used at once
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store writes upstream "i-2" with the start 1800
    And the store is copied
    And the store writes upstream "i-2" with the start 900
    And the store removes upstream "i-2"
    And 1 s passes
    And the store is down for 2 s and comes back from the copy
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1 i-2"

  # Guards against an upstream that is used because the copy has the entry of its earlier
  # start, of which it has said nothing: pauses belong to a start, too.
  Scenario Outline: What an upstream has said since it started again outlives <restore>
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And <gateway>
    When the store is copied
    And the store writes upstream "i-2" with the start 1800
    And 1 s passes
    And upstream "i-2" states that it leaves
    And the store <restore>
    And 1.5 s pass by
    Then the gateway has configuration 3 and uses "i-1"
    And the gateway knows upstream "i-2" with the start 1800
    When the store writes upstream "i-2" with the start 1800
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1"
    When the store writes upstream "i-2" with the start 900
    And 1 s passes
    Then the gateway has configuration 3 and uses "i-1 i-2"

    Examples:
      | gateway                        | restore                                       |
      | a gateway that follows it      | comes back from the copy without notice       |
      | a gateway that follows it      | is down for 2 s and comes back from the copy  |
      | a gateway that follows a relay | is down for 2 s and comes back from the copy  |

  # Guards against the same entry of an upstream that has left since it started again.
  Scenario: An upstream that has started again and left since the copy is not used
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that follows it
    When the store is copied
    And the store writes upstream "i-2" with the start 1800
    And 1 s passes
    And the store removes upstream "i-2"
    And 1 s passes
    And the store is down for 2 s and comes back from the copy
    And 1.5 s pass by
    Then the gateway has configuration 3 and uses "i-1"

  # Guards against full reads without a pause if the store goes back and does not say so.
  Scenario: A store that goes back without a new generation is read with pauses
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And a gateway that knows no relay
    When the store is copied
    And the store writes configurations 4 to 8
    And 1 s passes
    And the store comes back from the copy without notice or a new generation
    And 10 s pass by
    Then the gateway has configuration 8 and uses "i-1 i-2"
    And the gateway has made at most 150 calls since the restore
    When the store writes configurations 9 to 14
    And 1 s passes
    Then the gateway has configuration 14 and uses "i-1 i-2"
