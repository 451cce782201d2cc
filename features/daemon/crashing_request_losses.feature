Feature: Gateways hear of crashes although datagrams are lost

  # Guards against crash marks that are lost with their only datagram.
  Scenario Outline: <gateways> gateways hear of crashes although datagrams are lost
    Given <gateways> gateways in <zones> zones and <upstreams> upstreams that a request crashes
    And one datagram in 5 between these gateways is lost
    When callers send the request 8 times and others 20 times a second for 9 s
    Then the request has reached no more upstreams than the operators allow

    Examples:
      | gateways | zones | upstreams |
      | 13       | 3     | 26        |

    Examples:
      | gateways | zones | upstreams |
      | 136      | 3     | 145       |
      | 312      | 5     | 660       |
