Feature: The request limit of an upstream holds with any number of gateways

  # Guards against limits that hold only while a gateway's share of them is a request or
  # more, and against callers that get less than the limits leave.
  Scenario Outline: <gateways> gateways keep the limits of all upstreams
    Given <gateways> gateways in <zones> zones, with <upstreams> upstreams whose requests are counted
    When callers make <rate> calls a second for 1 s
    And <upstreams> of the upstreams state a limit of <limit> requests a second
    And callers make <rate> calls a second for <seconds> s
    Then no upstream has got more requests than its limit allows
    And the limited upstreams have got at least 80 % of what they take
    And calls are refused at once

    Examples:
      | gateways | zones | upstreams | limit | rate | seconds |
      | 13       | 3     | 26        | 2     | 130  | 9       |
      | 136      | 5     | 40        | 2     | 160  | 7       |
      | 312      | 5     | 60        | 2     | 200  | 7       |
