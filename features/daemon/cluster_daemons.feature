Feature: Daemons share members and configuration, with or without the store

  Scenario: Daemons find each other and leave nothing behind
    Given 5 daemons share a simulated reactor and a store with version 1
    Then every daemon sees exactly the running daemons
    And every daemon has version 1 in effect
    And every daemon has a member record in the store
    And nothing is scheduled on the reactor once all daemons have stopped

  Scenario: A store outage of an hour changes nothing
    Given 3 daemons share a simulated reactor and a store with version 1
    When the simulated store goes down
    And the daemons run for 3600 simulated seconds
    Then every daemon sees exactly the running daemons
    And no daemon was told to drop its roles
    When the operators apply a version to the simulated store
    And the simulated store comes back
    And the daemons run for 20 simulated seconds
    Then every daemon has version 2 in effect
    And every daemon has a member record in the store

  Scenario: Retries during an outage and at its end do not stampede
    Given 14 daemons share a simulated reactor and a store with version 1
    When the simulated store goes down
    And the daemons run for 600 simulated seconds
    And the simulated store comes back
    And the daemons run for 30 simulated seconds
    Then the outage cost each daemon at most 1 store calls a second
    And at most 14 store calls arrive in any 100 ms after that

  Scenario: A daemon that restarts with the store down is found by its peers
    Given 4 daemons share a simulated reactor and a store with version 1
    When the simulated store goes down
    And daemon "gateway-1" ends without notice
    And the daemons run for 10 simulated seconds
    And daemon number 1 starts
    And the daemons run for 60 simulated seconds
    Then every daemon sees exactly the running daemons
    And every daemon has version 1 in effect

  Scenario: Daemons that start without the store keep trying it
    Given 3 daemons start on a simulated reactor while the store is down
    When the daemons run for 300 simulated seconds
    And the simulated store comes back
    And the daemons run for 20 simulated seconds
    Then every daemon sees exactly the running daemons
    And every daemon has version 1 in effect
    And nothing is scheduled on the reactor once all daemons have stopped

  Scenario: A daemon that was cut off drops its roles before it returns
    Given 5 daemons share a simulated reactor and a store with version 1
    When daemon "gateway-3" is cut off from its peers for 10 seconds
    And the daemons run for 60 simulated seconds
    Then "gateway-3" was told to drop its roles
    And every daemon sees exactly the running daemons

  Scenario: A daemon that was stopped drops its roles with the first message
    Given 3 daemons share a simulated reactor and a store with version 1
    When "gateway-1" hears a membership message after a stop of 5 seconds
    Then "gateway-1" was told to drop its roles

  Scenario: A planned stop is known at once and revokes the record
    Given 4 daemons share a simulated reactor and a store with version 1
    When daemon "gateway-2" leaves as planned
    Then the other daemons no longer count "gateway-2" as a member
    And the member record of "gateway-2" is gone from the store
    And no link between the daemons was lost

  Scenario Outline: Malformed bytes on the peer port close that link only
    Given 3 daemons share a simulated reactor and a store with version 1
    When 60 connections with malformed bytes reach "gateway-1" with seed <seed>
    Then no link between the daemons was lost
    When the daemons run for 60 simulated seconds
    Then every daemon sees exactly the running daemons
    And every daemon has version 1 in effect

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A frame longer than any message closes the connection
    Given 2 daemons share a simulated reactor and a store with version 1
    When a connection to "gateway-1" announces a frame of 5000000 bytes
    Then that connection is closed

  Scenario: A connection without Hello is closed
    Given 2 daemons share a simulated reactor and a store with version 1
    When a connection to "gateway-1" sends "Ping" before its Hello
    Then that connection is closed
    When a connection to "gateway-1" sends nothing for 6 seconds
    Then that connection is closed
