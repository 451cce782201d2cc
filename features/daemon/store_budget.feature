Feature: One narrow class talks to the store, within a budget

  Scenario: A write whose answer is lost is reported as possibly done
    Given a store client with 20 calls a second
    And the fake store loses the next answer
    When the client puts "one" at "key"
    Then the store call fails as unavailable and says that a write may have happened
    And the fake store holds "one" at "key"
    And nothing is scheduled once the store client has stopped

  Scenario: A refused connection is reported as not sent
    Given a store client with 20 calls a second
    And the fake store refuses connections
    When the client puts "one" at "key"
    Then the store call fails as unavailable and says that nothing was sent

  Scenario: A transaction takes effect once
    Given a store client with 20 calls a second
    When the client puts "one" at "key"
    And the client replaces "one" by "two" at "key" twice
    Then the first succeeds and the second reads the new record

  Scenario: Calls beyond the budget are refused before they are sent
    Given a store client with 10 calls a second
    When the client makes 50 calls at once
    Then 30 calls reach the store and 20 are refused for the budget

  Scenario: A watch continues where it was cut
    Given a store client with 20 calls a second
    When the client watches from the start
    And "members/a" is written 2 times while the watch is cut
    And 5 seconds pass for the store client
    And "members/a" is deleted from the fake store
    And 1 seconds pass for the store client
    Then the watch reported "0 1 deleted" and no value twice
    And the client counted 2 watch
    And nothing is scheduled once the store client has stopped

  Scenario: A watch whose revision is gone asks its owner to read again
    Given a store client with 20 calls a second
    When the client watches from the start
    And the store drops the revision of the watch
    Then the watch reported a reset once and asks no more

  Scenario: A watch that gets garbage is opened again
    Given a store client with 20 calls a second
    When the client watches from the start
    And the watch gets bytes that are no JSON
    And 5 seconds pass for the store client
    And "members/a" is written 1 times while the watch is cut
    And 5 seconds pass for the store client
    Then the watch reported "0" and no value twice

  Scenario: A watch backs off while the store is down
    Given a store client with 20 calls a second
    When the client watches from the start
    And the fake store refuses connections
    And 600 seconds pass for the store client
    Then the watch was asked for at most 240 times
    And nothing is scheduled once the store client has stopped
