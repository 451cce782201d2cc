Feature: Metrics and the log do not delay or break calls

  # Guards against metrics that delay calls by a system call for each value.
  Scenario: Counters and timings are sent in batches with the member's prefix
    Given metrics of member "gw.1" for a statsd server
    When 10 calls and 130 timings are measured
    Then the statsd server has received 128 of "banyanshelf.gw_1.t:1.500000|ms"
    When the metrics are flushed by the clock
    Then the statsd server has received 130 of "banyanshelf.gw_1.t:1.500000|ms"
    And the statsd server has received 1 of "banyanshelf.gw_1.c:10|c"
    And the statsd server has received 1 of "banyanshelf.gw_1.g:7|g"

  # Guards against a missing or unreachable statsd server that breaks the gateway.
  Scenario: Metrics work with an unreachable statsd server and without one
    Given metrics of member "gw.1" for a statsd server
    When the statsd server is unreachable
    And 10 calls and 130 timings are measured
    And the metrics are flushed by the clock
    Then the metrics can be stopped

  # Guards against a log that blocks the gateway when its stream is not read.
  Scenario Outline: The log level and the state of the stream decide which lines are kept
    Then a decision logged at level "<level>" to a stream that is <state> keeps <count> lines

    Examples:
      | level   | state  | count |
      | info    | open   | 1     |
      | warning | open   | 0     |
      | info    | closed | 0     |
      | info    | stalled | 1    |
