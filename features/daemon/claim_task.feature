Feature: The claim task of a daemon connects owners, runners, peers and the store

  Background:
    Given 3 daemons with claim tasks on one clock

  # Guards against effects that are routed to the wrong daemon or not at all.
  Scenario: Every daemon's claims are granted, whoever owns the shard
    When each daemon claims 20 keys
    And 1.0 s pass for the claim tasks
    Then all claims of the tasks are decided as "granted"
    And the daemons own 16 claim shards together
    When all granted claims of the tasks are completed
    And 1.0 s pass for the claim tasks
    Then all outcomes of the tasks are recorded
    And every claim task is drained

  # Guards against a duplicate that hangs because a local message was not delivered.
  Scenario: The same key on all daemons is granted once
    When each daemon claims the key "one"
    And 3.0 s pass for the claim tasks
    Then 1 claim of the tasks is decided as "granted"
    And 2 claims of the tasks are decided as "running"

  # Guards against callers that wait for a store that is down, and against a takeover
  # that is not retried.
  Scenario Outline: A store failure refuses claims and ends
    When the claim store of the tasks fails with "<failure>"
    And each daemon claims 5 keys
    And 1.0 s pass for the claim tasks
    Then all claims of the tasks are decided as "unavailable"
    When the claim store of the tasks works again
    And 5.0 s pass for the claim tasks
    And each daemon claims the key "after"
    And 0.5 s pass for the claim tasks
    Then 1 claim of the tasks is decided as "granted"

    Examples:
      | failure     |
      | unavailable |
      | budget      |

  # Guards against a planned stop that drops claims or keeps a shard.
  Scenario: A daemon that stops hands its shards over
    When each daemon claims 20 keys
    And daemon 1 hands its claim shards over
    And 0.5 s pass for the claim tasks
    Then daemon 1 has handed over
    When daemon 1 leaves the membership of the claim tasks
    And 3.0 s pass for the claim tasks
    Then all claims of the tasks are decided as "granted"
    And the daemons own 16 claim shards together

  # Guards against a call that runs although its caller has gone.
  Scenario: A cancelled claim is released
    When each daemon claims the key "one"
    And all waiting claims of the tasks are cancelled
    And 1.0 s pass for the claim tasks
    And each daemon claims the key "one"
    And 0.5 s pass for the claim tasks
    Then 1 claim of the tasks is decided as "granted"

  # Guards against a second run: with equal attempt ids, the claim of the former process
  # was granted to the new one.
  Scenario Outline: A restarted daemon does not get the claims of its former process
    When daemon 1 claims the key <key>
    And 0.5 s pass for the claim tasks
    Then 1 claim of the tasks is decided as "granted"
    When daemon 1 is restarted with the same seed
    And 1.0 s pass for the claim tasks
    And daemon 1 claims the key <key>
    And 1.0 s pass for the claim tasks
    Then 1 claim of the tasks is decided as "unknown"

    Examples:
      | key  |
      | one  |
      | two  |
      | four |
