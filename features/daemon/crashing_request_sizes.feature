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

  # Guards against a refusal or an error that makes gateways forget crashes.
  Scenario Outline: Crashes are remembered by <gateways> gateways while upstreams are <mood>
    Given <gateways> gateways in 3 zones and <upstreams> upstreams that a request crashes
    When 50 % of the upstreams are <mood>
    And callers send the request 4 times and others 20 times a second for 9 s
    Then the request has reached no more upstreams than the operators allow

    Examples:
      | gateways | upstreams | mood    |
      | 13       | 26        | full    |
      | 13       | 26        | failing |
      | 13       | 26        | another |
      | 136      | 145       | full    |

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

  # Guards against a count that starts anew at each service.
  Scenario: Crashes are remembered when the route moves between services
    Given 13 gateways in 3 zones and 40 upstreams that a request crashes
    When callers send the request 4 times and others 20 times a second for 3 s
    And the route moves from service to service every 2 s, 4 times
    Then the request has reached no more upstreams than the operators allow
    And at most 3 upstreams have crashed under it

  # Guards against a count for each part of a split.
  Scenario: Crashes are remembered at all parts of a split
    Given 13 gateways in 3 zones and 40 upstreams that a request crashes
    And the route is split between two services
    When callers send the request 4 times and others 20 times a second for 9 s
    Then the request has reached no more upstreams than the operators allow
    And at most 3 upstreams have crashed under it

  # Guards against a quarantine after which the request starts from nothing everywhere.
  Scenario: A request that crashes upstreams after its quarantine is refused for longer
    Given 13 gateways in 3 zones and 26 upstreams that a request crashes
    When callers send the request 4 times and others 20 times a second for 4 s
    And 4 quarantines have passed while callers send it 2 times a second
    Then the request has reached no more upstreams than the operators allow
