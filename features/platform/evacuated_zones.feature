Feature: The upstreams of an evacuated zone get no requests

  Background:
    Given a store with configuration 3 and upstreams "i-1 i-2"
    And the store lists upstream "n-1" in zone "nyanza"

  # Guards against requests into a zone that the operators have emptied, and against a zone
  # that stays empty.
  Scenario Outline: A zone is evacuated and taken back at <gateway>
    Given <gateway>
    When the store evacuates zone "huye"
    And 1 s passes
    Then only the upstreams "n-1" get requests
    When the store takes back zone "huye"
    And 1 s passes
    Then only the upstreams "i-1 i-2 n-1" get requests

    Examples:
      | gateway                        |
      | a gateway that follows it      |
      | a gateway that follows a relay |

  # Guards against a gateway that cannot hear of the evacuation from the store itself.
  Scenario: A gateway that the store rejects learns of an evacuation from another one
    Given a gateway that follows it
    When the store rejects the gateway's calls
    And 2 s passes
    And the store evacuates zone "huye"
    And 2 s passes
    Then only the upstreams "n-1" get requests

  # Guards against a gateway that knows of an evacuation only if it saw it begin, and
  # against upstreams that begin to be listed meanwhile.
  Scenario: A gateway that starts during an evacuation heeds it
    When the store evacuates zone "huye"
    Given a gateway that follows it
    Then only the upstreams "n-1" get requests
    When the store writes upstreams "i-3"
    And 1 s passes
    Then only the upstreams "n-1" get requests

  # Guards against a leaving upstream that counts as live once its zone is taken back.
  Scenario: An upstream that leaves during an evacuation is not used after it
    Given a gateway that follows it
    When the store evacuates zone "huye"
    And 1 s passes
    And upstream "i-2" states that it leaves
    And the store takes back zone "huye"
    And 1 s passes
    Then only the upstreams "i-1 n-1" get requests

  # Guards against a restore that ends an evacuation which nobody has taken back, and
  # against one that then lasts for ever.
  Scenario: A restored store that has forgotten an evacuation ends it only after a time
    Given a gateway that follows it
    When the store is copied
    And the store evacuates zone "huye"
    And 1 s passes
    And the store is down for 2 s and comes back from the copy
    And 3 s pass by
    Then only the upstreams "n-1" get requests
    When 300 s pass by
    Then only the upstreams "i-1 i-2 n-1" get requests

  Scenario: A forgotten evacuation ends when it is asked for again and taken back
    Given a gateway that follows it
    When the store is copied
    And the store evacuates zone "huye"
    And 1 s passes
    And the store is down for 2 s and comes back from the copy
    And 3 s pass by
    And the store evacuates zone "huye"
    And the store takes back zone "huye"
    And 2 s pass by
    Then only the upstreams "i-1 i-2 n-1" get requests

  # Guards against gateways that disagree: one that starts after the restore knows only
  # what the store lists.
  Scenario: An evacuation that a restored store brings back holds until it is taken back
    Given a gateway that follows it
    When the store evacuates zone "huye"
    And 1 s passes
    And the store is copied
    And the store takes back zone "huye"
    And 1 s passes
    And the store is down for 2 s and comes back from the copy
    And 3 s pass by
    Then only the upstreams "n-1" get requests
    When the store takes back zone "huye"
    And 1 s passes
    Then only the upstreams "i-1 i-2 n-1" get requests
