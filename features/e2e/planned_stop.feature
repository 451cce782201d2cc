Feature: A planned stop of a daemon loses no call

  Background:
    Given a local fleet of 3 daemons with 3 upstreams per service

  @known_red
  Scenario: Every daemon is restarted under load
    Given 60 lookups and 8 payments per second for 25 s, seed 21
    When every daemon is stopped as planned and started again, one after another
    Then every planned stop ended with exit code 0
    And every call under load was answered whole
    And no payment under load ran more than once
