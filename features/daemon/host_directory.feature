Feature: Upstreams come from the host list, and first-hand notices go before it

  Scenario: A leaving upstream is known everywhere before the list says so
    Given 3 daemons with a host list of desk-1 and desk-2
    When daemon 1 reports that "desk-1" is leaving
    Then every daemon sees "desk-1" as leaving
    And every daemon sees "desk-2" as live
    When the host list gives "desk-3" as live
    Then every daemon sees "desk-1" as leaving

  Scenario: The list takes over once it has caught up
    Given 2 daemons with a host list of desk-1
    When daemon 1 reports that "desk-1" is leaving
    And the host list gives "desk-1" as leaving
    And the host list gives "desk-1" as live
    Then every daemon sees "desk-1" as live

  Scenario: A host that was dropped and returns is live, whatever arrives late
    Given 2 daemons with a host list of desk-1
    When daemon 1 reports that "desk-1" is leaving
    And the host list gives "desk-1" as gone
    Then every daemon sees "desk-1" as gone
    When the host list gives "desk-1" as live
    And a late copy of the notice about "desk-1" reaches daemon 2
    Then every daemon sees "desk-1" as live

  Scenario: A wrong notice does not block a host forever
    Given 2 daemons with a host list of desk-1
    When daemon 1 reports that "desk-1" is leaving
    And the daemons of the host list run for 590 seconds
    Then every daemon sees "desk-1" as leaving
    When the daemons of the host list run for 11 seconds
    Then every daemon sees "desk-1" as live

  Scenario: A daemon that joins later hears of the notice
    Given 2 daemons with a host list of desk-1
    When daemon 1 reports that "desk-1" is leaving
    And daemon 3 joins the daemons of the host list
    Then every daemon sees "desk-1" as leaving

  Scenario: The last list stays while the host list is unreachable
    Given 2 daemons with a host list of desk-1
    When the host list does not answer for 300 seconds
    Then every daemon sees "desk-1" as live
    And the host list was asked at most 400 times
    When the daemons of the host list run for 10 seconds
    And the host list gives "desk-2" as live
    Then every daemon sees "desk-2" as live

  Scenario: An unchanged list is asked for once in 25 seconds
    Given 2 daemons with a host list of desk-1
    When the daemons of the host list run for 250 seconds
    Then the host list was asked at most 22 times
    And every daemon still asks the host list
