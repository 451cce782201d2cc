Feature: A fleet of hundreds of gateways follows a store that comes back from an older copy

  # Guards against gateways that stay at the revisions from before the restore, and against
  # calls to the store by all of them at once.
  Scenario Outline: <gateways> gateways, the store <restore>
    Given a fleet of <gateways> gateways in <zones> zones, and 20 upstreams
    And the fleet loses one datagram in 10
    When upstream 19 leaves and configurations 4 to 8 follow after the store is copied
    And <cut> gateways are cut off while the store <restore>
    Then every gateway that was not cut off uses upstreams 0 to 18
    When gateways restart and join, and those that were cut off return
    And configuration 9 is written and upstream 18 leaves
    Then every gateway has configuration 9 and uses upstreams 0 to 17
    And the fleet has not exceeded the store's rate of reads

    Examples:
      | gateways | zones | cut | restore                       |
      | 312      | 5     | 30  | is away for 1.5 s             |
