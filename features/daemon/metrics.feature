Feature: Measurements cost calls nothing

  # Guards against a collector that slows down or breaks the gateway.
  Scenario: Counters and timings are sent in batches with the member's prefix
    Given metrics of member "gw.1" for a collector
    When 10 calls are counted and 130 timings of 1.5 ms are taken
    Then the collector has received 128 timings named "banyanshelf.gw_1.t"
    When 1.0 seconds pass for the metrics
    Then the collector has received 130 timings named "banyanshelf.gw_1.t"
    And the collector has received "banyanshelf.gw_1.c:10|c"
    And the collector has received "banyanshelf.gw_1.g:7|g"
    And no datagram is longer than 1432 bytes

  Scenario: A collector that is gone changes nothing
    Given metrics of member "gw.1" for a collector
    When the collector is gone
    And 10 calls are counted and 130 timings of 1.5 ms are taken
    And 1.0 seconds pass for the metrics
    Then the metrics can be stopped

  Scenario: Without a collector nothing is kept
    Given metrics without a collector
    When 10 calls are counted and 130 timings of 1.5 ms are taken
    Then the clock of the metrics holds no timer

  # Guards against a log that stops the gateway when nobody reads it.
  Scenario: A closed log stream loses lines only
    Given a log at level "info" on a closed stream
    When a decision is logged
    Then 0 lines are kept

  Scenario Outline: The level decides which lines are written
    Given a log at level "<level>"
    When a decision is logged
    Then <count> lines are kept

    Examples:
      | level   | count |
      | info    | 1     |
      | warning | 0     |
