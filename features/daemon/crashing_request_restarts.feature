Feature: Gateways that start or come back learn of crashes

  # Guards against gateways that never learn of crashes noticed before they started.
  Scenario Outline: <count> of <gateways> gateways that restart learn of earlier crashes
    Given <gateways> gateways in <zones> zones and <upstreams> upstreams that a request crashes
    When callers send the request 4 times a second until it has crashed 3
    And <count> gateways are restarted one after the other while callers send it
    And callers send the request 8 times and others 20 times a second for 5 s
    Then the request has reached no more upstreams than the operators allow

    Examples:
      | gateways | zones | upstreams | count |
      | 13       | 3     | 26        | 13    |

    Examples:
      | gateways | zones | upstreams | count |
      | 136      | 3     | 145       | 24    |

  # Guards against gateways that never learn of crashes noticed while they were cut off.
  Scenario Outline: <count> of <gateways> gateways learn of crashes after they were cut off
    Given <gateways> gateways in 3 zones and <upstreams> upstreams that a request crashes
    When <count> gateways are cut off from the others
    And callers send the request 4 times a second until it has crashed 3
    And the gateways reach each other again
    And callers send the request 8 times and others 20 times a second for 9 s
    Then the request has reached no more upstreams than the operators allow

    Examples:
      | gateways | upstreams | count |
      | 13       | 26        | 4     |

    Examples:
      | gateways | upstreams | count |
      | 136      | 145       | 40    |
