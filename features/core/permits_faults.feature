Feature: Slot permits tolerate faults of links, gateways and coordinators

  # Guards against permits that are lost or counted twice, calls that wait forever, and
  # upstreams that get more calls than the limits allow.
  Scenario Outline: Random faults neither lose permits nor exceed the bounds
    Given a permit fleet of <gateways> gateways and <upstreams> upstreams with <slots> slots, seed <seed>
    When random faults hit the permit fleet at <calls> calls a second for 8 seconds
    And the permit fleet runs for 10 seconds without faults and then without calls
    Then every call of the permit fleet was assigned or refused
    And the coordinator of the permit fleet counts exactly what the gateways hold

    Examples:
      | gateways | upstreams | slots | seed | calls |
      | 6        | 5         | 2     | 1    | 350   |
      | 6        | 5         | 2     | 20   | 700   |
      | 6        | 5         | 3     | 28   | 600   |
      | 14       | 13        | 3     | 46   | 1200  |
