Feature: An accepted configuration takes effect everywhere and never goes back

  Scenario: A version reaches all members through one that saw it
    Given a configuration group of 14 members with seed 1 and version 1
    When only "gateway-3" sees the next version before the store goes down
    And the group runs for 5 seconds
    Then every member of the group has version 2 in effect

  Scenario: A member that was away gets the newest version at its return
    Given a configuration group of 6 members with seed 2 and version 1
    When group member "gateway-2" is paused for 20 seconds
    And the operators apply the next version
    And the operators apply the next version
    And the group runs for 15 seconds
    And the store of the group goes down
    Then every member of the group has the newest version after settling
    And no version ever went back at any member

  Scenario: All members restart one by one while the store is down
    Given a configuration group of 8 members with seed 3 and version 1
    When the operators apply the next version
    And the group runs for 5 seconds
    And every member starts again within 400 seconds while the store is down
    Then every member of the group has the newest version after settling

  Scenario Outline: Random faults, outages and changes end with the newest version
    Given a configuration group of 10 members with seed <seed> and version 1
    When 40 versions are applied during random faults and store outages
    Then every member of the group has the newest version after settling
    And no version ever went back at any member

    Examples:
      | seed |
      | 201  |
      | 202  |
      | 203  |
      | 204  |

  Scenario: A stale peer does not bring an earlier version into effect at start
    Given a configuration keeper with peers "a", "b"
    When "a" sends the keeper version 3
    Then the keeper has version 0 in effect
    When "b" sends the keeper version 5
    And the keeper learns that the store is empty
    Then the keeper has version 5 in effect

  Scenario: A stale store does not bring an earlier version into effect
    Given a configuration keeper with peers "a"
    When "a" sends the keeper version 7
    And the keeper reads version 6 from the store
    Then the keeper has version 7 in effect

  Scenario: A start without an answer of the store ends after a second
    Given a configuration keeper with peers "a"
    When "a" sends the keeper version 2
    And 0.9 seconds pass for the keeper
    Then the keeper has version 0 in effect
    When 0.2 seconds pass for the keeper
    Then the keeper has version 2 in effect

  Scenario: An earlier version from a stale peer is ignored
    Given a configuration keeper with peers "a", "b", "c", "d"
    When the keeper reads version 4 from the store
    And 1.1 seconds pass for the keeper
    Then the keeper notifies 3 members
    When "b" sends the keeper version 3
    Then the keeper has version 4 in effect

  Scenario: A text that does not match its digest is fetched elsewhere
    Given a configuration keeper with peers "a", "b"
    When the keeper reads version 1 from the store
    And 1.1 seconds pass for the keeper
    And the keeper hears that "a" has version 2
    Then the keeper asks "a" for the text
    When the keeper hears that "b" has version 2
    Then the keeper remembers that "b" offered version 2
    When "a" sends the keeper version 2 with other content
    Then the keeper has version 1 in effect
    And the keeper asks "b" for the text

  Scenario: A fetch that is not answered goes to another member
    Given a configuration keeper with peers "a", "b"
    When the keeper reads version 1 from the store
    And 1.1 seconds pass for the keeper
    And the keeper hears that "a" has version 2
    And the keeper hears that "b" has version 2
    And 1.1 seconds pass for the keeper
    Then the keeper asks "b" for the text

  Scenario: A fetch for a version that the member does not have is answered
    Given a configuration keeper with peers "a"
    When the keeper reads version 4 from the store
    And 1.1 seconds pass for the keeper
    And "a" fetches from the keeper above version 4
    Then the keeper answers "a" with version 4 and no text
