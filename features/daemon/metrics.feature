Feature: Measurements and the log cost calls nothing

  # Guards against a collector that slows down or breaks the gateway.
  Scenario: Counters and timings are sent in batches with the member's prefix
    Given metrics of member "gw.1" for a collector
    When 10 calls and 130 timings are measured
    Then the collector has received 128 of "banyanshelf.gw_1.t:1.500000|ms"
    When the metrics are flushed by the clock
    Then the collector has received 130 of "banyanshelf.gw_1.t:1.500000|ms"
    And the collector has received 1 of "banyanshelf.gw_1.c:10|c"
    And the collector has received 1 of "banyanshelf.gw_1.g:7|g"

  Scenario: A collector that is gone, or none, changes nothing
    Given metrics of member "gw.1" for a collector
    When the collector is gone
    And 10 calls and 130 timings are measured
    And the metrics are flushed by the clock
    Then the metrics can be stopped

  # Guards against a log that stops the gateway when nobody reads it.
  Scenario Outline: The level and the state of the stream decide which lines are kept
    Then a decision logged at level "<level>" to a stream that is <state> keeps <count> lines

    Examples:
      | level   | state  | count |
      | info    | open   | 1     |
      | warning | open   | 0     |
      | info    | closed | 0     |
      | info    | stalled | 1    |
