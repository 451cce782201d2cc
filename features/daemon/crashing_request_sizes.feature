Feature: A request that crashes upstreams is stopped with any number of gateways

  # Guards against a crash that the gateway with the only connection does not notice.
  Scenario Outline: <gateways> gateways with one connection each notice the crashes
    Given <gateways> gateways in <zones> zones and <upstreams> upstreams that a request crashes
    When callers send the request 4 times and others 40 times a second for <seconds> s
    Then the request has reached no more upstreams than the operators allow
    And at most 3 upstreams have crashed under it
    And 90 % of the other requests are answered 200

    Examples:
      | gateways | zones | upstreams | seconds |
      | 13       | 3     | 26        | 9       |

    Examples:
      | gateways | zones | upstreams | seconds |
      | 136      | 3     | 145       | 8       |
      | 312      | 5     | 660       | 8       |
