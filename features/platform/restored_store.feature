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
