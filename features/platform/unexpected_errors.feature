Feature: An unexpected error ends one step of the gateway's work, not the work

  # Guards against a gateway that serves on with old upstreams after one unexpected error.
  Scenario Outline: The store is still followed after an error in <part>
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When the next <part> raises an unexpected error
    And the store writes configuration 4
    And 1 s passes
    And the store writes configuration 5
    And 2 s passes
    Then the gateway has configuration 5 and uses "i-1"

    Examples:
      | part                |
      | handler of items    |
      | answer to a watch   |

  # Guards against a check beside the watch that is never made again.
  Scenario: Stale reads go on after one of them raises an unexpected error
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it
    When the next stale read raises an unexpected error
    And 3 s passes
    Then 2 more stale reads have been made

  # Guards against an entry that no decoder expects: it names no upstream, and the other
  # entries of the same change count.
  Scenario: Entries of any content leave the other upstreams in use
    Then 400 entries of any content, read beside a good one, leave that one in use
