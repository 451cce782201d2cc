Feature: Caller services below their share are served first across all gateways

  # Guards against a busy caller service that starves another one: each gateway put the
  # other's calls first, but the coordinator granted its permits to the oldest calls.
  Scenario: A free slot goes to the gateway with an urgent call
    Given a service of 1 slot whose only permit is in use at "g1"
    When "g1" waits with 5 calls for 900 ms, of which 0 are urgent
    And "g2" waits with 1 calls for 1 ms, of which 1 are urgent
    And the permit in use at "g1" is returned
    Then the next permit is granted to "g2"

  Scenario: Without urgent calls the oldest call goes first
    Given a service of 1 slot whose only permit is in use at "g1"
    When "g1" waits with 5 calls for 900 ms, of which 0 are urgent
    And "g2" waits with 1 calls for 1 ms, of which 0 are urgent
    And the permit in use at "g1" is returned
    Then the next permit is granted to "g1"

  Scenario Outline: Calls are urgent behind a longer queue and below their share
    Given an admission queue with <rush> calls of "rush" and <quiet> of "lookups"
    And <in_use> calls of "lookups" and 2 of "rush" in use
    Then <urgent> calls of the admission queue are urgent

    Examples:
      | rush | quiet | in_use | urgent |
      | 9    | 2     | 0      | 2      |
      | 9    | 2     | 4      | 0      |
      | 2    | 2     | 0      | 0      |
      | 9    | 0     | 0      | 0      |
