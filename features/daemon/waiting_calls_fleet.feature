Feature: Calls of a zone's gateways wait for room at their aggregator

  Background:
    Given 10 gateways whose calls wait for room at 4 upstreams of 4 slots
    When as many calls as there is room for are placed

  # Guards against room that goes to those who happen to ask when it frees up.
  Scenario: Room that frees up goes to the waiting calls of higher priority
    When 2 further calls of priority 1 wait
    And 2 further calls of priority 0 wait
    And 2 running calls end
    Then the waiting calls of priority 0 are placed and no others

  # Guards against room for a call whose caller has left.
  Scenario: A withdrawn call gives its turn to the next one
    When 2 further calls of priority 0 wait
    And the caller of the first waiting call leaves
    And 1 running call ends
    Then the second waiting call is placed and the first one is not

  # Guards against calls that wait for an aggregator that has crashed.
  Scenario: The aggregator is killed while calls wait
    When 3 further calls of priority 0 wait
    And the aggregator is killed
    Then each waiting call is decided within 0.15 s

  # Guards against a call that waits for an answer which was lost, and against a slot that
  # stays taken by it.
  Scenario: The answer to a waiting call is lost
    When 1 further calls of priority 0 wait
    And 1 running call ends while the answer to the waiting call is lost
    Then the waiting call is placed within 0.15 s
    When 1 s passes in the zone
    Then the aggregator counts the running and the waiting calls
