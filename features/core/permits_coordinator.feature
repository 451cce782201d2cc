Feature: The coordinator of a service grants slots exactly

  Scenario: The oldest waiting call is served first and no slot is granted twice
    Given a coordinator for service desk of upstreams "a:huye:1" and "g1:huye g2:moka g3:moka"
    When the desk coordinator is told that "g1" has 1 calls waiting
    And the desk coordinator is told that "g2" has 1 calls waiting for 10 ms
    And the desk coordinator is told that "g3" has 1 calls waiting for 50 ms
    Then the desk coordinator has granted "nothing" to "g3"
    When the desk coordinator gets "a" back from "g1"
    Then the desk coordinator has granted "a" to "g3"
    And the desk coordinator has granted "nothing" to "g2"

  Scenario: Upstreams in the gateway's zone are preferred until they are full
    Given a coordinator for service desk of upstreams "a:huye:9 b:moka:2 c:huye:9" and "g1:huye g2:moka"
    When the desk coordinator is told that "g2" has 2 calls waiting
    Then the desk coordinator has granted "b b" to "g2"
    When the desk coordinator is told that "g2" has 18 calls waiting
    Then the desk coordinator has granted 18 permits of "a" or "c"

  # Guards against two permits for one call when a grant and a demand message cross.
  Scenario: A call with an unconfirmed grant is not granted a second permit
    Given a coordinator for service desk of upstreams "a:huye:3" and "g1:huye"
    When the desk coordinator is told that "g1" has 1 calls waiting
    And the desk coordinator is told the same by "g1" before its grant arrived
    Then the desk coordinator has granted 1 permits of "a"

  Scenario: A slow upstream stays idle while waiting for a faster one is sooner
    Given a coordinator for service desk of upstreams "a:huye:1 b:huye:1 c:huye:1 d:huye:1" and "g1:huye"
    When the desk coordinator learns 1 times that "a" answered in 20 ms
    And the desk coordinator learns 1 times that "b" answered in 20 ms
    And the desk coordinator learns 1 times that "c" answered in 20 ms
    And the desk coordinator learns 1 times that "d" answered in 20 ms
    And the desk coordinator's clock advances 0.3 s
    And the desk coordinator learns 3 times that "d" answered in 100 ms
    And the desk coordinator is told that "g1" has 4 calls waiting
    Then the desk coordinator has granted "a b c d" to "g1"
    And the desk coordinator's last grant of "d" is for "trial"
    When the desk coordinator gets "d" back from "g1"
    And the desk coordinator is told that "g1" has 1 calls waiting
    Then the desk coordinator has granted 1 permits of "d"
    When the desk coordinator is told that "g1" has 9 calls waiting
    Then the desk coordinator has granted 2 permits of "d"
    And the desk coordinator's last grant of "d" is for "single_use"

  Scenario: Under contention grants carry the reuse age, and idle permits are recalled once
    Given a coordinator for service desk of upstreams "a:huye:2" and "g1:huye g2:huye g3:huye"
    When the desk coordinator is told that "g1" has 2 calls waiting
    And the desk coordinator is told that "g2" has 2 calls waiting for 40 ms
    And the desk coordinator is told that "g3" has 1 calls waiting
    Then the desk coordinator recalls 2 permits of "any" from "g1"
    When the desk coordinator gets "a" back from "g1"
    Then the desk coordinator's last grant asks to reuse from 0 ms on
    When the desk coordinator's clock advances 0.1 s
    Then the desk coordinator's last grant asks to reuse from 100 ms on

  Scenario: Spare permits are granted only without contention
    Given a coordinator for service desk of upstreams "a:huye:2" and "g1:huye g2:huye"
    When the desk coordinator is told that "g1" wants 1 spare permits
    Then the desk coordinator has granted "a" to "g1"
    When the desk coordinator is told that "g2" has 2 calls waiting
    And the desk coordinator gets "a" back from "g1"
    And the desk coordinator is told that "g1" wants 1 spare permits
    Then the desk coordinator has granted "a" to "g1"
    And the desk coordinator has granted "a a" to "g2"
    When the desk coordinator gets "a a" back from "g2"
    And the desk coordinator is told that "g1" wants 1 spare permits
    Then the desk coordinator has granted "a" to "g1"
    When the desk coordinator's clock advances 0.125 s
    Then the desk coordinator has granted "a a" to "g1"

  Scenario: A permit that every waiting call excludes is not granted
    Given a coordinator for service desk of upstreams "a:huye:1 b:moka:1" and "g1:huye"
    When the desk coordinator is told of a call of "g1" that excludes "a"
    Then the desk coordinator has granted "b" to "g1"

  # Guards against slots that are granted twice after a change of the coordinator.
  Scenario: A new coordinator collects holdings before it grants
    Given a collecting coordinator for service desk of "a:huye:2" and "g1:huye g2:huye"
    When the desk coordinator gets holdings of "a" from "g1"
    And the desk coordinator is told that "g1" has 2 calls waiting
    Then the desk coordinator has granted 0 permits of "a"
    When the desk coordinator gets holdings of "nothing" from "g2"
    Then the desk coordinator has granted 1 permits of "a"

  Scenario: A member that does not report counts with its local share after 300 ms
    Given a collecting coordinator for service desk of "a:huye:2" and "g1:huye g2:huye"
    When the desk coordinator gets holdings of "nothing" from "g1"
    And the desk coordinator is told that "g1" has 2 calls waiting
    And the desk coordinator's clock advances 0.275 s
    Then the desk coordinator has granted 0 permits of "a"
    When the desk coordinator's clock advances 0.05 s
    Then the desk coordinator has granted 1 permits of "a"
    When the desk coordinator gets holdings of "nothing" from "g2"
    Then the desk coordinator has granted 2 permits of "a"

  Scenario: Messages of an older epoch have no effect
    Given a coordinator for service desk of upstreams "a:huye:2" and "g1:huye"
    When the desk coordinator gets a message of an older epoch from "g1"
    Then the desk coordinator has granted "nothing" to "g1"

  Scenario: The permits of a removed member are reclaimed after the time limit
    Given a coordinator for service desk of upstreams "a:huye:1" and "g1:huye g2:huye"
    When the desk coordinator is told that "g2" has 1 calls waiting
    And the desk coordinator is told that member "g2" was removed
    And the desk coordinator is told that "g1" has 1 calls waiting
    And the desk coordinator's clock advances 1.9 s
    Then the desk coordinator has granted "nothing" to "g1"
    When the desk coordinator's clock advances 0.2 s
    Then the desk coordinator has granted "a" to "g1"

  # Guards against permits that stay counted as granted after a link was lost.
  Scenario: After a reconnect the reported holdings replace the count
    Given a coordinator for service desk of upstreams "a:huye:2" and "g1:huye g2:huye"
    When the desk coordinator is told that "g2" has 2 calls waiting
    And the desk coordinator loses and regains the link to "g2"
    And the desk coordinator is told that "g1" has 1 calls waiting
    Then the desk coordinator has granted "nothing" to "g1"
    When the desk coordinator gets "a" back from "g2"
    And the desk coordinator is told that "g2" has 1 calls waiting
    Then the desk coordinator has granted "a" to "g1"
    And the desk coordinator has granted "a a" to "g2"
    When the desk coordinator gets "a" back from "g1"
    Then the desk coordinator has granted "a a" to "g2"
    When the desk coordinator gets holdings of "a" from "g2"
    Then the desk coordinator counts 1 permits of "a"

  Scenario: Holdings reported within a session do not hide unconfirmed grants
    Given a coordinator for service desk of upstreams "a:huye:2" and "g1:huye"
    When the desk coordinator is told that "g1" has 2 calls waiting
    And the desk coordinator gets holdings that "g1" sent before its grant
    Then the desk coordinator counts 2 permits of "a"

  Scenario: A grant that cannot be sent is revoked
    Given a coordinator for service desk of upstreams "a:huye:1" and "g1:huye g2:huye"
    When the desk coordinator is told that "g2" has 1 calls waiting
    And the desk coordinator cannot send its grant to "g2"
    And the desk coordinator is told that "g1" has 1 calls waiting
    Then the desk coordinator has granted "a" to "g1"

  Scenario: A leaving upstream gets no new grants and its permits are recalled
    Given a coordinator for service desk of upstreams "a:huye:2" and "g1:huye"
    When the desk coordinator is told that "g1" has 1 calls waiting
    And the desk coordinator is told that upstream "a" is leaving
    And the desk coordinator is told that upstream "a" is leaving
    And the desk coordinator is told that "g1" has 1 calls waiting
    Then the desk coordinator has granted 1 permits of "a"
    And the desk coordinator recalls 1 permits of "a" from "g1"

  Scenario: A new upstream ramps from one slot to its limit over 5 s
    Given a coordinator for service desk of upstreams "a:huye:3" and "g1:huye"
    When the desk coordinator is told of a new upstream "b:huye:3"
    Then the desk coordinator shows "b" as ramping with 1 usable slots
    When the desk coordinator's clock advances 2.6 s
    Then the desk coordinator shows "b" as ramping with 2 usable slots
    When the desk coordinator's clock advances 2.75 s
    Then the desk coordinator shows "b" as live with 3 usable slots

  # Guards against an upstream that is preferred because its failures are fast.
  Scenario: A fast failure counts as the time limit
    Given a coordinator for service desk of upstreams "a:moka:1 b:huye:1" and "g1:huye"
    When the desk coordinator learns 1 times that "a" answered in 20 ms
    And the desk coordinator's clock advances 0.3 s
    And the desk coordinator learns 1 times that "b" error in 1 ms
    Then the desk coordinator shows "b" as slow with 1 usable slots

  Scenario: Ejection times double, and probes within the budget decide on readmission
    Given a coordinator for service desk of upstreams "a:huye:3 b:huye:3" and "g1:huye"
    When the desk coordinator's clock advances 1.0 s
    And the desk coordinator learns 3 times that "a" error in 1 ms
    Then the desk coordinator shows "a" as ejected with 0 usable slots
    When the desk coordinator's clock advances 0.9 s
    Then the desk coordinator has sent 0 probes to "a"
    When the desk coordinator's clock advances 0.4 s
    Then the desk coordinator has sent 1 probes to "a"
    When the desk coordinator learns that the probe of "a" failed
    And the desk coordinator's clock advances 1.7 s
    Then the desk coordinator has sent 1 probes to "a"
    When the desk coordinator's clock advances 0.6 s
    Then the desk coordinator has sent 2 probes to "a"
    When the desk coordinator learns that the probe of "a" succeeded
    Then the desk coordinator shows "a" as ramping with 1 usable slots
    When the desk coordinator learns 1 times that "a" error in 1 ms
    Then the desk coordinator shows "a" as ejected with 0 usable slots

  # Guards against a new coordinator that spends the same probe time again.
  Scenario: With an empty probe budget a trial call decides on readmission
    Given a coordinator for service desk of upstreams "a:huye:1" and "g1:huye"
    When the desk coordinator learns 3 times that "a" error in 1 ms
    And the desk coordinator's clock advances 1.1 s
    Then the desk coordinator has sent 0 probes to "a"
    And the desk coordinator shows "a" as readmitting with 1 usable slots
    When the desk coordinator is told that "g1" has 1 calls waiting
    Then the desk coordinator's last grant of "a" is for "trial"
