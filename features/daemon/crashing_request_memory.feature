Feature: Gateways remember the crashes of a request

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
