Feature: The store stand-in keeps revisions as etcd does

  Scenario: Of two transactions over the same revision one takes effect
    Given an empty key space
    When two transactions put key "head" if its revision is 0
    Then the first takes effect and the second does not
    And key "head" has version 1

  Scenario: All changes of a transaction have one revision
    Given an empty key space
    When one transaction puts keys "a,b,c"
    Then the revision has increased by 1
    And keys "a,b,c" have the same revision

  Scenario: Expiry of a lease deletes its keys
    Given an empty key space
    When key "members/1" is put under a lease of 5 s
    And 4 s pass with a renewal and 4 s without
    Then key "members/1" exists
    When 2 s pass
    Then key "members/1" is gone
    And the last event is a deletion of "members/1"

  Scenario: Random puts and deletions agree with a dictionary
    Given an empty key space
    When 3000 random operations with seed 19 run on it and on a dictionary
    Then both hold the same keys in order
    And the events replayed from the start give the same keys
