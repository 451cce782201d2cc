Feature: A gateway assigns its permits to calls and queues the other calls

  Scenario: Under contention a permit is reused only by a call that has waited long enough
    Given a holder of gateway g1 for upstreams "a:huye:3 b:huye:3"
    When the g1 holder gets calls "first second third"
    And the g1 holder is granted "a" under contention with age 50 ms
    And the g1 holder ends call "first"
    Then the g1 holder has returned "a"
    When the g1 holder is granted "a" under contention with age 50 ms
    And the g1 holder's clock advances 0.05 s
    And the g1 holder ends call "second"
    Then the g1 holder has assigned "third:a"

  Scenario: Without contention permits up to the recent peak plus one are kept
    Given a holder of gateway g1 for upstreams "a:huye:3 b:huye:3"
    When the g1 holder gets calls "first second"
    And the g1 holder is granted "a a b b"
    Then the g1 holder keeps "b" idle
    And the g1 holder has returned "b"
    When the g1 holder ends call "first"
    And the g1 holder ends call "second"
    Then the g1 holder keeps "a a b" idle
    When the g1 holder's clock advances 2.5 s
    Then the g1 holder keeps "a" idle

  Scenario: Taking the last idle permit requests a spare one
    Given a holder of gateway g1 for upstreams "a:huye:3 b:huye:3"
    When the g1 holder gets calls "first"
    And the g1 holder is granted "a b"
    And the g1 holder gets calls "second"
    Then the g1 holder has assigned "first:a second:b"
    And the g1 holder has requested 1 spare permits

  Scenario: A recall returns idle permits, and for a named upstream also those in use
    Given a holder of gateway g1 for upstreams "a:huye:3 b:huye:3"
    When the g1 holder gets calls "first second"
    And the g1 holder is granted "a a b"
    And the g1 holder gets a recall of 2 permits of "a"
    Then the g1 holder has returned "nothing"
    When the g1 holder gets calls "third"
    And the g1 holder gets calls "fourth"
    And the g1 holder ends call "first"
    Then the g1 holder has returned "a"
    When the g1 holder ends call "third"
    Then the g1 holder has assigned "second:a fourth:b"
    When the g1 holder gets a recall of 9 permits of "any"
    And the g1 holder ends call "fourth"
    Then the g1 holder has returned "b"

  # Guards against a second attempt at the upstream where the first one failed.
  Scenario: A permit that a call excludes is not used for it
    Given a holder of gateway g1 for upstreams "a:huye:3 b:huye:3"
    When the g1 holder gets call "first" that excludes "a"
    And the g1 holder is granted "a"
    Then the g1 holder has assigned "nothing"
    And the g1 holder has returned "a"
    When the g1 holder gets call "second" that excludes "a b"
    Then the g1 holder has refused "second" because of "no upstream left for this call"
    When the g1 holder is granted "b"
    Then the g1 holder has assigned "first:b"

  Scenario: A call for idle permits only is refused at once without one
    Given a holder of gateway g1 for upstreams "a:huye:3"
    When the g1 holder gets call "hedge" that takes only idle permits
    Then the g1 holder has refused "hedge" because of "no idle permit"

  Scenario: A trial permit is used by an idempotent call only and returned after it
    Given a holder of gateway g1 for upstreams "a:huye:3"
    When the g1 holder gets call "payment" that is not idempotent
    And the g1 holder is granted "a" for trial
    Then the g1 holder has assigned "nothing"
    And the g1 holder has returned "a"
    When the g1 holder gets calls "lookup"
    And the g1 holder is granted "a" for trial
    Then the g1 holder has assigned "lookup:a"
    When the g1 holder ends call "lookup"
    Then the g1 holder has returned "a"

  Scenario: Idle permits of a leaving upstream are returned, and no new ones are kept
    Given a holder of gateway g1 for upstreams "a:huye:3 b:huye:3"
    When the g1 holder gets calls "first"
    And the g1 holder is granted "a a"
    And the g1 holder is told that "a" is leaving
    Then the g1 holder has returned "a"
    When the g1 holder ends call "first"
    Then the g1 holder has returned "a"
    When the g1 holder gets calls "second"
    And the g1 holder is granted "a"
    Then the g1 holder has assigned "nothing"

  Scenario: Grants of an older epoch are ignored
    Given a holder of gateway g1 for upstreams "a:huye:3"
    When the g1 holder gets calls "first"
    And the g1 holder is granted "a" in an older epoch
    Then the g1 holder has assigned "nothing"

  Scenario: Without its coordinator a gateway uses permits and the local share
    Given a holder of gateway g1 for upstreams "a:huye:3 b:huye:3"
    When the g1 holder gets calls "first"
    And the g1 holder is granted "a"
    And the g1 holder's coordinator link goes down
    And the g1 holder gets calls "second third fourth"
    Then the g1 holder has assigned "first:a second:a third:b"
    When the g1 holder ends call "first"
    Then the g1 holder has assigned "second:a third:b fourth:a"
    When the g1 holder's coordinator link goes up
    Then the g1 holder reports "a a b" in use and "nothing" idle
    When the g1 holder ends call "third"
    Then the g1 holder has returned "b"

  Scenario: A coordinator that is silent for 300 ms is treated as unreachable
    Given a holder of gateway g1 for upstreams "a:huye:3"
    When the g1 holder gets calls "first"
    And the g1 holder's clock advances 0.25 s
    Then the g1 holder has assigned "nothing"
    When the g1 holder's clock advances 0.1 s
    Then the g1 holder has assigned "first:a"

  # Guards against the use of permits that the coordinator reclaimed during a pause.
  Scenario: A gateway that was paused for the time limit returns its idle permits
    Given a holder of gateway g1 for upstreams "a:huye:3"
    When the g1 holder gets calls "first"
    And the g1 holder is granted "a a"
    And the g1 holder is paused for 2.1 s
    And the g1 holder gets calls "second"
    Then the g1 holder has assigned "first:a"
    And the g1 holder has returned "a"

  Scenario: A call whose expected wait exceeds its time is shed at once
    Given a holder of gateway g1 for upstreams "a:huye:3"
    When the g1 holder gets calls "first"
    And the g1 holder is granted "a"
    And the g1 holder ends call "first" after 100 ms
    And the g1 holder's clock advances 0.3 s
    And the g1 holder gets calls "second third fourth"
    # Two calls of 100 ms are ahead, the gateway's fair share is all 3 slots, and a
    # quarter of the call's time is reserved for running it.
    And the g1 holder gets call "early" with 100 ms left
    And the g1 holder gets call "late" with 80 ms left
    Then the g1 holder has refused only "late", because of "expected wait exceeds time left"

  Scenario: A call that gets no permit in time is refused
    Given a holder of gateway g1 for upstreams "a:huye:1"
    When the g1 holder gets calls "first"
    And the g1 holder is granted "a" under contention with age 50 ms
    And the g1 holder gets call "late" with 50 ms left
    And the g1 holder's clock advances 0.1 s
    Then the g1 holder has refused "late" because of "no permit in time"

  Scenario: Deeper calls go first and a full queue sheds the last call in this order
    Given a holder of gateway g1 for upstreams "a:huye:3" with 3 queue places
    When the g1 holder gets calls "new newer" of clients with depth 0
    And the g1 holder gets calls "deep deeper" of clients with depth 2
    Then the g1 holder has refused "newer" because of "queue full"
    When the g1 holder is granted "a"
    Then the g1 holder has assigned "deep:a"

  # Guards against a busy caller service that blocks the calls of others.
  Scenario: A caller service gets its weighted share, and unused shares of others
    Given a holder of gateway g1 for "a:huye:9" where catalogue weighs 2
    When the g1 holder gets calls "p1 p2 p3 p4 p5 p6" of proofing with depth 1
    And the g1 holder is granted "a a a"
    Then the g1 holder has assigned "p1:a p2:a p3:a"
    When the g1 holder gets calls "c1 c2 c3" of catalogue with depth 0
    And the g1 holder is granted "a a a"
    Then the g1 holder has assigned "p1:a p2:a p3:a c1:a c2:a c3:a"
