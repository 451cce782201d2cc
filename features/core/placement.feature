Feature: A call is placed where its response is expected in time

  Background:
    Given a placement in zone "a" with upstreams "a1 a2 b1" of 3 slots
    And calls that take 60 ms

  # Guards against calls to an upstream that is slow because its machine is shared.
  Scenario: A slow upstream is avoided while its load report is recent
    When the placement sees "report a1 0 4.0; report a2 0 1.0"
    Then calls with 200 ms left go to "a2"

  # Guards against decisions by load reports that are out of date.
  Scenario: An old load report has no effect
    When the placement sees "learn paces; report a1 0 4.0; report a2 0 1.0; wait 5"
    Then calls with 200 ms left go to "a1 a2"

  # Guards against gateways that select the same upstream at the same time.
  Scenario: The calls of other gateways count
    When the placement sees "others g2 a1 2; others g3 a1 1"
    Then calls with 200 ms left go to "a2"

  # Guards against calls that are counted twice, as known calls and as reported ones.
  Scenario: A load report counts the call whose response carries it
    When the placement sees "begin a1; report a1 1 1.0; end a1"
    Then 0 calls are expected at "a1"

  # Guards against call counts that remain after their gateway has left.
  Scenario: The calls of a gateway that has left are not counted
    When the placement sees "others g2 a1 3; others g2 a2 3; forget"
    Then 0 calls are expected at "a1"

  # Guards against traffic between zones without a benefit.
  Scenario Outline: Another zone is <used> when the local zone is <state>
    When the placement sees "<events>"
    Then calls with <left> ms left go to "<chosen>"

    Examples:
      | used     | state           | events                                                   | left | chosen |
      | not used | fast            | report a1 0 1; report a2 0 1; report b1 0 1              | 200  | a1 a2  |
      | not used | slow but enough | report a1 0 4; report a2 0 4; report b1 0 1              | 900  | a1 a2  |
      | used     | too slow        | report a1 0 4; report a2 0 4; report b1 0 1              | 120  | b1     |
      | not used | as slow         | report a1 0 4; report a2 0 4; report b1 0 4              | 200  | a1 a2  |
      | used     | leaving         | leave a1; leave a2                                       | 200  | b1     |
      | used     | evacuated       | evacuate a1; evacuate a2                                 | 200  | b1     |
      | used     | evacuated and the other is slow | evacuate a1; evacuate a2; report b1 0 4  | 200  | b1     |
      | not used | in use again    | evacuate a1; evacuate a2; return a1; return a2           | 200  | a1 a2  |

  # Guards against callers of an evacuated zone that are refused although other zones have
  # free slots: without slots of its own, the zone counted as full. The load is calls that
  # are late already.
  Scenario: Late calls of an evacuated zone get the free slots of other zones
    When the placement sees "evacuate a1; evacuate a2; others g2 b1 1"
    Then calls with 40 ms left go to "b1"
    When the placement sees "others g2 b1 3"
    Then a call with 40 ms left is refused within a third of the time

  # Guards against a cold phase that starts anew because the state has changed.
  Scenario: An upstream that is used again is cold for the time that its entry states
    When the placement sees "cold a1 400; wait 0.5; evacuate a1; return a1; evacuate a2"
    Then a call with 400 ms left takes at most 70 ms at "a1"
    When the placement sees "cold a1 900"
    Then a call with 400 ms left takes at least 110 ms at "a1"

  # Guards against calls to another zone without any load data about it.
  Scenario: Without a recent load report, another zone is not used
    When the placement sees "report a1 0 4; report a2 0 4; report b1 0 1; wait 0.2"
    Then calls with 200 ms left and fresh reports only go to "a1 a2"

  # Guards against calls that wait although they cannot meet their deadline.
  Scenario: A call that cannot be answered in time is refused at once
    When the placement sees "others g2 a1 3; others g2 a2 3; others g2 b1 3"
    Then a call with 40 ms left is refused within a third of the time
    And calls with 400 ms left go to "a1 a2"

  # Guards against late calls that take the slots of calls that can still be in time: on
  # scale-1 of huye-inyandiko, 276 of 581 callers were answered in time in the worst 2 s,
  # and 312 with the limit.
  Scenario: A late call gets a free slot only while other slots are free
    When the placement sees "others g2 a1 3; others g2 a2 1; others g2 b1 1"
    Then a call with 10 ms left goes to "a2"
    When the placement sees "others g2 a2 2"
    Then a call with 10 ms left is refused
    And calls with 400 ms left go to "a2"

  # Guards against upstreams that reset connections because their queue is full.
  Scenario: An upstream gets one call more than it has slots
    When the placement sees "others g2 a1 4; others g2 a2 4; others g2 b1 4"
    Then a call with 4000 ms left is refused

  # Guards against second attempts that delay first attempts of other calls.
  Scenario: A second attempt is placed only at an idle upstream
    When the placement sees "others g2 a1 2; others g2 a2 2; others g2 b1 2"
    Then a second attempt with 400 ms left is refused
    When the placement sees "others g2 a2 1"
    Then a second attempt with 400 ms left goes to "a2"

  # Guards against idempotent calls that wait for an upstream that has gone silent until
  # their callers give up, while others of the service answer in 40 ms: after the target had
  # passed, no second attempt was considered (hamutenya-zips trouble-1, seed 5). Guards also
  # against calls that run twice because their upstream is leaving: it finishes them.
  Scenario Outline: A call <state> needs a second attempt: <needed>
    When the placement sees "begin a1; wait <after>; <events>"
    Then a call to "a1" with a target of 200 ms and a deadline of 1000 ms, begun <after> s ago, needs a second attempt: <needed>

    Examples:
      | state                                    | after | events                 | needed |
      | that is in time                          | 0.03  | report a1 1 1.0        | no     |
      | that will miss its target                | 0.18  | report a1 1 1.0        | yes    |
      | past its target that progresses          | 0.25  | report a1 1 4.0        | no     |
      | past its target without an answer        | 0.45  | report a1 1 1.0        | yes    |
      | at an upstream that is out of use        | 0.03  | fail a1 refused        | yes    |
      | past its target at one out of use        | 0.25  | fail a1 refused        | yes    |
      | at an upstream that has left             | 0.03  | remove a1              | no     |
      | past its target at one that has left     | 0.25  | remove a1              | yes    |
      | with too little time for another attempt | 0.97  | fail a1 refused        | no     |

  # Guards against a second attempt that is refused because the target has passed, although
  # it would be answered before the caller gives up.
  Scenario: After its target a call gets a second attempt that meets its deadline
    Then a second attempt 100 ms after its target with 600 ms left goes to "a1 a2"
    And a second attempt 100 ms after its target with 20 ms left is refused

  # Guards against calls to an upstream that is down, and against an upstream that is
  # never used again.
  Scenario: An upstream that refuses connections is out of use until it is healthy
    When the placement sees "fail a1 refused"
    Then calls with 200 ms left go to "a2"
    When the placement sees "wait 0.4; healthy a1"
    Then calls with 200 ms left go to "a2"
    When the placement sees "wait 0.2; healthy a1"
    Then calls with 200 ms left go to "a1 a2"

  # Guards against an upstream that fails some requests while its health probes succeed.
  Scenario: An upstream that fails a part of its calls is avoided for some seconds
    When the placement sees "fail a1 error; ok a1; fail a1 error; ok a1"
    Then calls with 200 ms left go to "a2"
    When the placement sees "wait 30"
    Then calls with 200 ms left go to "a1 a2"

  # Guards against an upstream that looks idle because it rejects calls, and attracts more.
  Scenario: An upstream that rejects calls with slots free is avoided for some seconds
    When the placement sees "fail a1 shed; ok a1; fail a1 shed; ok a1"
    Then calls with 200 ms left go to "a2"
    When the placement sees "wait 30"
    Then calls with 200 ms left go to "a1 a2"

  # Guards against calls that are refused because all upstreams reject some.
  Scenario: Calls are placed though all upstreams reject some with slots free
    When the placement sees "fail a1 shed; fail a1 shed; fail a2 shed; fail a2 shed; fail a1 shed; fail a2 shed"
    Then calls with 200 ms left go to "a1 a2"

  # Guards against a full upstream that stays without calls after its queue has drained.
  Scenario: An upstream that rejects calls while it is full is used when it has room again
    When the placement sees "begin a1; begin a1; begin a1; fail a1 shed; fail a1 shed; end a1; end a1; end a1"
    Then calls with 200 ms left go to "a1 a2"

  # Guards against a negative time of work, with which no upstream could be chosen.
  Scenario: A call that ends after its upstream was started again gives no sample
    When the placement sees "wait 5; begin a1; restart a1; end a1; wait 5; begin a1; restart a1; end a1"
    Then a call with 400 ms left is expected to take 40 to 110 ms

  # Guards against a restarted upstream that is judged by failures before its restart.
  Scenario: A new incarnation starts without a history
    When the placement sees "fail a1 refused; restart a1"
    Then calls with 200 ms left go to "a1 a2"

  # Guards against estimates that become negative when the mean rate changes during a
  # call.
  Scenario: The estimated work of a call is never negative
    When the placement sees "report a1 0 1; wait 20; begin a1; learn paces; end a1"
    Then a call with 200 ms left is expected to take 30 to 120 ms

  # Guards against a prediction that a slow upstream stays slow forever.
  Scenario Outline: At a rate of <rate> reported <age> s ago, 100 ms of work take <low> to <high> ms
    Then 100 ms of work at a rate of <rate> reported <age> s ago take <low> to <high> ms

    Examples:
      | rate | age | low | high |
      | 1.0  | 0   | 100 | 115  |
      | 0.25 | 0   | 180 | 300  |
      | 0.25 | 5   | 120 | 150  |
      | 1.0  | 5   | 120 | 150  |

  # Guards against calls past their target that are expected to take 3 ms, when no call
  # of their class has been answered yet.
  Scenario: A call past its target is expected to take as long as others of its class
    Given calls of a class without any answer yet
    Then a call with 200 ms left is expected to take 40 to 120 ms
    And a call with -100 ms left is expected to take 40 to 120 ms

  # The load is above the capacity, and callers retry after a refusal.
  Scenario: Under overload, more callers are answered in time if their waits are inferred
    Then of callers that retry at 1.1 of the capacity, 0.05 more are answered in time if their waits are inferred

  # The load is a low call rate per gateway, at upstreams whose speed changes.
  Scenario: At low load, more callers are answered in time than by random selection
    Then of calls at 0.3 of the capacity, the placement answers 0.15 more in time than random choice
