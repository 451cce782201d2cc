Feature: Without the store everything but keyed calls goes on

  Background:
    Given a local fleet of 3 daemons with 3 upstreams per service

  Scenario: Lookups are answered and payments refused as not run
    Given an operator commits a text with a time limit of 1900 ms
    Then that text is in effect on every daemon
    When the local store refuses connections
    And 60 lookups per second of service "catalogue" for 5 s, seed 5
    And payment "no-store" is sent through daemon 1
    Then the status is 503
    And the caller is told that the call was not run
    And the answer says when to try again
    And payment "no-store" ran 0 times
    And every call under load was answered whole
    And that text is in effect on every daemon

  Scenario: A daemon that starts without the store takes text and members from its peers
    Given the local store refuses connections
    When daemon 2 is killed and started again
    And service "catalogue" is called through daemon 2
    Then the caller gets its own whole answer

  Scenario: Payments run again after the outage
    When the local store answers again
    And payment "after-outage" is sent through daemon 1 until it is paid
    Then payment "after-outage" ran 1 time
