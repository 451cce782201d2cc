Feature: Lookups go on while a coordinator is lost

  Background:
    Given a local fleet of 3 daemons with 3 upstreams per service

  Scenario: Every daemon finds the coordinator although all start at once
    Then every daemon names the same coordinator of service "desk"
    And every daemon names the same coordinator of service "catalogue"

  Scenario: A paused coordinator goes on with an old epoch
    Given 80 lookups per second of service "desk" for 10 s, seed 41
    When the daemon that coordinates service "desk" is paused for 4 s
    Then no call under load got a wrong or cut answer

  Scenario: Another daemon takes over from a killed coordinator
    Given 80 lookups per second of service "desk" for 8 s, seed 42
    When the daemon that coordinates service "desk" is killed
    Then only calls of the killed daemon were lost
    When the killed daemon is started again
    And service "desk" is called through daemon 1
    Then the caller gets its own whole answer
