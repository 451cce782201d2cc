Feature: Gateways together keep the quotas of workspaces

  # Guards against gateways that each grant a workspace's quota, and against refusals of
  # workspaces that stay within theirs.
  Scenario Outline: <gateways> gateways in 3 zones keep the quotas of their workspaces
    Given <gateways> gateways in 3 zones with 6 workspaces of 20 requests a second
    When each workspace makes 15 requests a second for 4 s
    Then no request is refused
    When one workspace makes 150 requests a second and the others 15 for <seconds> s
    Then no workspace has sent more than its quota allows
    And that workspace has sent at least 85 % of what its quota allows
    And no request of the other workspaces is refused
    And requests over the quota are refused within 0.05 s
    And there were fewer than <datagrams> datagrams of quotas a second

    Examples:
      | gateways | seconds | datagrams |
      | 13       | 6       | 250       |
      | 30       | 6       | 250       |

  # Guards against datagrams that grow with the fleet.
  Scenario: In 312 gateways, quotas take no more datagrams
    Given 312 gateways in 3 zones with 6 workspaces of 20 requests a second
    When one workspace makes 150 requests a second and the others 15 for 2 s
    Then no workspace has sent more than its quota allows
    And there were fewer than 250 datagrams of quotas a second

  # Guards against callers that move between zones and find nothing there.
  Scenario: Workspaces are served after their callers have moved
    Given 13 gateways in 3 zones with 6 workspaces of 20 requests a second
    When each workspace makes 15 requests a second for 4 s
    And all callers move to zone 1
    And each workspace makes 15 requests a second for 4 s
    Then no request is refused

  # Guards against grants by both the former and the next gateway that keeps the quotas.
  Scenario Outline: The quotas are kept when <event>
    Given <gateways> gateways in 3 zones with 6 workspaces of 20 requests a second
    When one workspace makes 150 requests a second and the others 15 for 4 s
    And <event>
    And one workspace makes 150 requests a second and the others 15 for 6 s
    Then no workspace has sent more than its quota allows
    And that workspace has sent at least 60 % of what its quota allows

    Examples:
      | gateways | event                                           |
      | 13       | the gateways that keep the quotas are killed    |
      | 30       | the gateways that keep the quotas are killed    |
      | 13       | the gateways that keep the quotas are cut off   |
      | 30       | the gateways that keep the quotas are cut off   |
      | 13       | a tenth of the datagrams is lost                |
      | 30       | a tenth of the datagrams is lost                |
      | 13       | all gateways are restarted at once              |
      | 30       | all gateways are restarted at once              |

  # Guards against callers that have returned too late and take what others could use.
  Scenario Outline: A workspace over its quota sends calls that can be in time
    Given <gateways> gateways in 3 zones with 6 workspaces of 20 requests a second
    When one workspace makes 150 requests a second and the others 15 for 4 s
    And half of the calls are past their target
    And one workspace makes 150 requests a second and the others 15 for 4 s
    Then that workspace has sent at least 85 % of what its quota allows
    And at most 10 % of what it has sent was past its target
    And no request of the other workspaces is refused

    Examples:
      | gateways |
      | 13       |
      | 30       |

  # Guards against permissions that outlive a pause of the process or its host.
  Scenario: A gateway that was paused uses nothing it was granted before
    Given 13 gateways in 3 zones with 6 workspaces of 20 requests a second
    When each workspace makes 15 requests a second for 4 s
    And all gateways are paused for 3 s
    Then no gateway has more than its share of a start
