Feature: Daemons agree on who is alive without the store

  Scenario: A killed member is removed by all, and its restart is noticed
    Given a membership group of 14 members with seed 1
    And the group has run for 5 seconds
    When group member "gateway-3" is killed
    And the group runs for 6 seconds
    Then every running member sees exactly the running members
    When the store of the group goes down
    And group member "gateway-3" starts again
    Then after settling every running member sees exactly the running members

  Scenario Outline: Lost and reordered messages remove nobody for long
    Given a membership group of 14 members with seed <seed>
    And messages of the group are lost at 20 percent and reordered
    When the group runs for 120 seconds
    And messages of the group arrive again
    Then after settling every running member sees exactly the running members

    Examples:
      | seed |
      | 11   |
      | 12   |

  Scenario: A broken path between two members removes neither of them
    Given a membership group of 8 members with seed 2
    And the group has run for 5 seconds
    When group member "gateway-1" cannot hear "gateway-2" directly
    And the group runs for 60 seconds
    Then nobody was ever removed from the group

  Scenario: A member that returns from a long pause is told before it acts
    Given a membership group of 14 members with seed 3
    And the group has run for 5 seconds
    When group member "gateway-5" is paused for 9 seconds
    And the group runs for 8 seconds
    Then "gateway-5" is no member for the others
    And after settling every running member sees exactly the running members
    And the returned member was told and took a higher incarnation

  Scenario: A member that returns from a partition is told by the others
    Given a membership group of 14 members with seed 4
    And the group has run for 5 seconds
    When group member "gateway-5" is cut off for 12 seconds
    Then after settling every running member sees exactly the running members
    And the returned member was told and took a higher incarnation

  Scenario: A member that returns from a pause does not remove the others
    Given a membership group of 6 members with seed 5
    And the group has run for 5 seconds
    When group member "gateway-0" is paused for 1.2 seconds
    And the group runs for 30 seconds
    Then nobody was ever removed from the group
    And the paused member kept its roles

  Scenario: A store outage of an hour changes nothing
    Given a membership group of 14 members with seed 6
    And the group has run for 5 seconds
    When the store of the group goes down
    And the group runs for 3600 seconds
    Then nobody was ever removed from the group
    And every running member sees exactly the running members

  Scenario: A record read late does not bring a removed member back
    Given a membership group of 8 members with seed 7
    And the group has run for 5 seconds
    When group member "gateway-2" is killed
    And the group runs for 10 seconds
    And a store record of "gateway-2" from before its removal is read late
    Then every running member sees exactly the running members

  Scenario: A planned stop is known at once and is not taken back
    Given a membership group of 14 members with seed 8
    And the group has run for 5 seconds
    When group member "gateway-4" leaves on purpose
    And the group runs for 0.1 seconds
    Then "gateway-4" is no member for the others
    When the group runs for 10 seconds
    Then "gateway-4" is no member for the others

  Scenario: News is sent a bounded number of times
    Given a membership group of 14 members with seed 9
    And the group has run for 5 seconds
    When group member "gateway-4" leaves on purpose
    And the group runs for 1 seconds
    And group member "gateway-4" is killed
    And the group runs for 40 seconds
    Then no message carried more updates than allowed and the news ran dry

  Scenario: The order of updates does not matter
    Given a membership group of 1 members with seed 10
    When the same updates reach two members in different orders
    Then both end with the same members

  Scenario Outline: After random faults no live member stays removed
    Given a membership group of 10 members with seed <seed>
    And the store of the group is down
    And messages of the group are lost at 5 percent and reordered
    When random faults happen for 120 seconds
    Then after settling every running member sees exactly the running members

    Examples:
      | seed |
      | 101  |
      | 102  |
      | 103  |
      | 104  |
      | 105  |
      | 106  |
