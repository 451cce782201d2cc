Feature: Gateways together keep the request limit that an upstream states

  # Guards against gateways that send an upstream in need far more than it takes: on the
  # capped day of huye-inyandiko, 34 requests in 4 s with a limit of 2.9 a second.
  Scenario: 14 gateways keep the limits of some upstreams
    Given 14 gateways in 3 zones, with 13 upstreams whose requests are counted
    When callers make 130 calls a second for 1 s
    And 9 of the upstreams state a limit of 3 requests a second
    And callers make 130 calls a second for 9 s
    Then no upstream has got more requests than its limit allows

  # Guards against health probes beyond the limit: with few calls at an upstream, its
  # load report is stale and is renewed several times a second.
  Scenario: Health probes count towards the limit
    Given 6 gateways in 1 zones, with 4 upstreams whose requests are counted
    When callers make 8 calls a second for 1 s
    And 4 of the upstreams state a limit of 1 requests a second
    And callers make 8 calls a second for 9 s
    Then no upstream has got more requests than its limit allows

  # Guards against a restarted gateway that grants again what its predecessor granted.
  Scenario: The limits are kept while gateways are restarted in turn
    Given 13 gateways in 3 zones, with 13 upstreams whose requests are counted
    When callers make 130 calls a second for 1 s
    And 13 of the upstreams state a limit of 3 requests a second
    And callers make 130 calls a second for 4 s
    And each gateway is restarted in turn while callers make 130 calls a second
    Then no upstream has got more requests than its limit allows
    And the limited upstreams have got at least 60 % of what they take

  # Guards against a sum of limits on both sides of a partition.
  Scenario: The limits are kept while a gateway is cut off from the others
    Given 13 gateways in 3 zones, with 13 upstreams whose requests are counted
    When callers make 130 calls a second for 1 s
    And 13 of the upstreams state a limit of 3 requests a second
    And callers make 130 calls a second for 4 s
    And gateway 1 is cut off from all others
    And gateway 2 is cut off from all others
    And callers make 130 calls a second for 6 s
    And no gateway is cut off any more
    And callers make 130 calls a second for 4 s
    Then no upstream has got more requests than its limit allows
    And the limited upstreams have got at least 60 % of what they take

  # Guards against gateways that each take the whole limit while they know nobody.
  Scenario: The limits are kept while gateways that have restarted know nobody
    Given 13 gateways in 3 zones, with 13 upstreams whose requests are counted
    When callers make 130 calls a second for 1 s
    And 13 of the upstreams state a limit of 3 requests a second
    And callers make 130 calls a second for 4 s
    And gateways know nobody at first, as their seeds do not answer
    And all gateways are restarted at the same moment
    And callers make 130 calls a second for 6 s
    Then no upstream has got more requests than its limit allows

  # Guards against limits that no gateway keeps, or two, when the fleet grows or shrinks.
  Scenario: The limits are kept while the number of gateways changes
    Given 7 gateways in 1 zones, with 6 upstreams whose requests are counted
    When callers make 60 calls a second for 1 s
    And 6 of the upstreams state a limit of 3 requests a second
    And callers make 60 calls a second for 4 s
    And gateway 8 is added
    And gateway 9 is added
    And gateway 10 is added
    And callers make 60 calls a second for 4 s
    And gateway 2 is killed
    And gateway 3 is killed
    And callers make 60 calls a second for 6 s
    Then no upstream has got more requests than its limit allows
    And the limited upstreams have got at least 60 % of what they take

  # Guards against a limit that holds for ever, as no answer tells that it is lifted.
  Scenario Outline: An upstream is used again after a limit of <limit>
    Given 6 gateways in 2 zones, with 4 upstreams whose requests are counted
    When callers make 40 calls a second for 1 s
    And 4 of the upstreams state a limit of <limit> requests a second
    And callers make 40 calls a second for 9 s
    Then no upstream has got more requests than its limit allows
    When the upstreams state no limit any more
    And callers make 40 calls a second for 6 s
    And callers make 40 calls a second for 3 s
    Then at least 99 % of the calls are answered

    Examples:
      | limit |
      | 0     |
      | 0.5   |
      | 2     |

  # Guards against calls that use up what is left although upstreams elsewhere are free.
  Scenario: Callers are served by upstreams without a limit in other zones
    Given 6 gateways in 3 zones, with 6 upstreams whose requests are counted
    When callers make 40 calls a second for 1 s
    And 3 of the upstreams state a limit of 1 requests a second
    And callers make 40 calls a second for 6 s
    Then no upstream has got more requests than its limit allows
    And at least 99 % of the calls are answered
