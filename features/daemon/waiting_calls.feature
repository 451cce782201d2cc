Feature: Calls wait for room where there is too little of it

  # The load: waves and bursts beyond what the upstreams take. Upstreams of 4 slots run at
  # a quarter of their speed for a third of the time, and are slower by 1.7 when full.

  # Guards against callers that are refused although a slot frees up in time, and against
  # calls that slow down all others of an upstream.
  Scenario Outline: More callers are answered in time than without a queue
    Given "all" callers ask for <load> times the room in waves
    When calls are played for 12 s with seed <seed>
    Then more of the "all" callers are answered in time than without a queue
    And fewer of the "all" callers are refused than without a queue

    Examples:
      | load | seed |
      | 0.9  | 1    |
      | 1.3  | 2    |

  # Guards against urgent calls that wait behind others, and against others that starve.
  Scenario: Urgent calls go first in a burst of twice the room
    Given "urgent" callers of priority 0 ask for 0.8 times the room
    And "other" callers of priority 1 ask for 1.2 times the room
    When calls are played for 12 s with seed 3
    Then at least 9 in 10 of the "urgent" callers are answered in time
    And each of the callers are served at least a quarter as often as all

  # Guards against a workspace that takes the room of the others.
  Scenario: A workspace that asks for 7.5 times its usual gets no room of the others
    Given callers of 8 workspaces ask for 0.8 times the room together
    And from 12 s on, the first workspace asks for 7.5 times its usual
    When calls are played for 20 s with seed 4
    Then at least 8 in 10 callers of the other workspaces are answered in time
    And each of the callers are served at least a quarter as often as all

  # Guards against refused callers that come back as a wave, or when they have no use of it.
  Scenario: Refused callers come back one after the other while they can be answered
    Given "all" callers ask for 2 times the room
    When calls are played for 8 s with seed 5
    Then no tenth of a second has more returns than half a second has room for
    And every refused caller is asked back within a third of its time

  # Guards against callers that wait and are then refused.
  Scenario: Refusals come while callers can still ask again
    Given "all" callers ask for 3 times the room
    When calls are played for 8 s with seed 6
    Then no caller waits longer than its target before it is refused

  # Guards against a call that is held for ever after an unexpected error.
  Scenario Outline: A call whose placement fails is refused
    Given an idle zone where the next placement fails <how>
    When a "usual" caller asks with 1.5 s left
    Then the caller is refused with "placement failed"

    Examples:
      | how            |
      | at once        |
      | after a moment |

  # Guards against a refusal of a call that has time left for another try.
  Scenario: A call goes on waiting when request limits are used up
    Given an idle zone where the next placement finds the request limits used up
    When a "usual" caller asks with 1.5 s left
    Then the caller gets room at the next review

  # Guards against a queue that counts on more, or less, than limited upstreams take.
  Scenario Outline: The service rate respects request limits
    Given 4 idle upstreams that state a limit of 2 requests per second
    When their limits are <state>
    Then the service rate is 8 calls per second

    Examples:
      | state         |
      | not used up   |
      | used up       |
