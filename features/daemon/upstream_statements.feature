Feature: What upstreams say of themselves in their answers holds at each gateway

  # Guards against requests at upstreams whose entries still say that they are ready.
  Scenario Outline: <gateways> gateways send nothing to upstreams that have told them so
    Given <gateways> gateways in <zones> zones and <upstreams> upstreams that say what they want
    When callers make <rate> calls to them a second for 1 s
    And 30 % of the upstreams begin to leave
    And 30 % of the upstreams want no requests for 4 s
    And callers make <rate> calls to them a second for 6 s
    Then no gateway sends more than is allowed to upstreams that have told it
    And 85 % of these calls are answered

    Examples:
      | gateways | zones | upstreams | rate |
      | 1        | 1     | 13        | 60   |
      | 13       | 3     | 26        | 130  |
      | 136      | 3     | 145       | 160  |
      | 312      | 5     | 160       | 200  |

  # Guards against gateways that depend on others for what they have heard themselves.
  Scenario: Gateways that are cut off keep what upstreams have told them
    Given 13 gateways in 3 zones and 26 upstreams that say what they want
    When 5 of these gateways are cut off from the others
    And 50 % of the upstreams begin to leave
    And 50 % of the upstreams want no requests for 4 s
    And callers make 130 calls to them a second for 6 s
    Then no gateway sends more than is allowed to upstreams that have told it

  # Guards against callers that wait for their deadline or all return at one moment.
  Scenario: In a pause of all upstreams, callers are refused until its end
    Given 13 gateways in 3 zones and 26 upstreams that say what they want
    When 100 % of the upstreams want no requests for 3 s
    And callers make 100 calls to them a second for 1 s
    And callers make 20 calls to them a second for 1 s
    Then refused callers are told to return 1 to 2.6 s later, at many times
    When callers make 100 calls to them a second for 2 s
    And callers make 100 calls to them a second for 2 s
    Then no gateway sends more than is allowed to upstreams that have told it
    And 95 % of these calls are answered

  # Guards against statements of an earlier incarnation that keep callers away.
  Scenario: Upstreams that are started again under their ids are used again
    Given 13 gateways in 3 zones and 26 upstreams that say what they want
    When 60 % of the upstreams begin to leave
    And 60 % of the upstreams want no requests for 60 s
    And callers make 100 calls to them a second for 2 s
    And the upstreams are started again under their ids
    And callers make 100 calls to them a second for 1 s
    And callers make 100 calls to them a second for 2 s
    Then 95 % of these calls are answered
    And no gateway sends more than is allowed to upstreams that have told it
