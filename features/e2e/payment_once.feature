Feature: A payment runs at most once

  Background:
    Given a local fleet of 3 daemons with 3 upstreams per service

  Scenario: The same payment is sent to two daemons at once
    When payment "at-once" is sent through daemons 1 and 2 at once
    Then payment "at-once" ran 1 time
    And all payers got the same answer

  @known_red
  Scenario: The same payment is sent again after many others
    When payment "later" is sent through daemon 1
    And 200 other payments are sent through all daemons
    And payment "later" is sent through daemon 3
    Then payment "later" ran 1 time
    And all payers got the same answer

  Scenario: A key that is used for another body is refused
    When payment "reused" is sent through daemon 1
    And payment "reused" with another body is sent through daemon 2
    Then the status is 422
    And payment "reused" ran 1 time

  Scenario: Store writes that take effect without an answer do not run a payment twice
    Given the local store loses the answers of its next 3 writes
    When payment "lost-write" is sent through daemon 2
    And payment "lost-write" is sent through daemon 3
    Then payment "lost-write" ran at most once
