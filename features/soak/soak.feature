Feature: Promises to callers hold under faults from outside

  # Guards against wrong answers, second runs and false refusals under random faults.
  # Promises with a time are checked by "make soak" only, as CI asserts no durations.
  Scenario Outline: <gateways> gateways keep the promises without a time, seed <seed>
    When seed <seed> is played for 6 s with <gateways> gateways and 5 upstreams
    Then no promise without a time was broken

    Examples:
      | seed | gateways |
      | 11   | 3        |
      | 12   | 10       |

  # Guards against refused, repeated or wrong answers where some upstreams take few requests.
  Scenario: Gateways keep the promises while upstreams state request limits, seed 13
    When seed 13 is played for 6 s with 4 gateways and 6 upstreams, of which 2 state a limit
    Then no promise without a time was broken
