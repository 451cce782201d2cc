Feature: The memory for callers' requests is bounded and shared

  Background:
    Given a memory for requests of 1600 KB

  # Guards against a process that runs out of memory, and against requests that are
  # refused although there is room.
  Scenario: Requests are admitted up to the capacity
    When connections "a b c" receive 500 KB each at 0 s
    Then connection "d" is refused 100 KB at 0.1 s
    When connection "a" ends
    Then connection "d" is granted 100 KB at 0.2 s

  # Guards against large requests that leave no room for calls without large bodies.
  Scenario: Large requests leave room for short ones
    When connections "a b c" receive 500 KB each at 0 s
    Then connection "d" is granted 60 KB at 0.1 s

  # Guards against callers that stop short of the end and keep others out.
  Scenario: The request that has been silent longest makes room first
    When connections "a b c" receive 450 KB each at 0 s
    And connection "a" has 520 KB at 0.9 s
    Then connection "d" is granted 100 KB at 1.2 s in place of "b"

  # Guards against a caller that sends a byte now and then to seem alive.
  Scenario: A request that trickles in counts as silent
    When connections "a b c" receive 450 KB each at 0 s
    And connection "a" has 451 KB at 0.9 s
    And connection "b" has 520 KB at 0.9 s
    Then connection "d" is granted 100 KB at 1.2 s in place of "a"

  # Guards against a complete request that is refused because of unfinished ones.
  Scenario: A complete request makes room among unfinished ones at once
    When connections "a b c" receive 500 KB each at 0 s
    Then the complete request of connection "d" is granted 100 KB at 0.1 s in place of "a"

  # Guards against calls in progress that are ended for the sake of new requests.
  Scenario: Requests in progress are never displaced
    When connections "a b c" receive 500 KB each at 0 s
    And the requests of connections "a b c" are complete
    Then connection "d" is refused 100 KB at 5 s
