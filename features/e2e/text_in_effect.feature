Feature: An accepted text takes effect everywhere and stays in effect

  Background:
    Given a local fleet of 3 daemons with 2 upstreams per service

  Scenario: A text reaches every daemon
    When an operator commits a text with a time limit of 1800 ms
    Then that text is in effect on every daemon

  Scenario: One of two operators is refused
    When two operators commit different texts over the same version
    Then the second operator is refused
    And that text is in effect on every daemon

  Scenario: A restarted daemon does not go back to an older text
    When an operator commits a text with a time limit of 1700 ms
    Then that text is in effect on every daemon
    When the local store is replaced by one that holds an older text
    And daemon 2 is killed and started again
    Then that text is in effect on every daemon
