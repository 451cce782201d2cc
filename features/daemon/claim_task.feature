Feature: The claim task of a daemon connects shard owners, runner, peers and store

  Background:
    Given 3 daemons with claim tasks on one clock

  # Guards against effects that are sent to the wrong daemon or not executed.
  Scenario: Every daemon's claims are granted, whoever owns the shard
    When each daemon claims 20 keys
    And 1.0 s pass for the claim tasks
    Then all claims of the tasks are decided as "granted"
    And the daemons own 16 claim shards together
    When all granted claims of the tasks are completed
    And 1.0 s pass for the claim tasks
    Then all outcomes of the tasks are recorded
    And every claim task is drained

  # Guards against a duplicate that hangs because a message of a daemon to itself was
  # not delivered.
  Scenario: The same key on all daemons is granted once
    When each daemon claims the key "one"
    And 3.0 s pass for the claim tasks
    Then 1 claim of the tasks is decided as "granted"
    And 2 claims of the tasks are decided as "running"

  # Guards against callers that wait while the store is down, and against a takeover
  # that is not retried.
  Scenario Outline: Claims are refused during a store failure and granted after it
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

  # Guards against a graceful shutdown that loses claims or keeps a shard.
  Scenario: A daemon that shuts down hands its shards over
    When each daemon claims 20 keys
    And daemon 1 hands its claim shards over
    And 0.5 s pass for the claim tasks
    Then daemon 1 has handed over
    When daemon 1 leaves the membership of the claim tasks
    And 3.0 s pass for the claim tasks
    Then all claims of the tasks are decided as "granted"
    And the daemons own 16 claim shards together

  # Guards against a call that runs although its caller has disconnected.
  Scenario: A cancelled claim is released
    When each daemon claims the key "one"
    And all waiting claims of the tasks are cancelled
    And 1.0 s pass for the claim tasks
    And each daemon claims the key "one"
    And 0.5 s pass for the claim tasks
    Then 1 claim of the tasks is decided as "granted"

  # Guards against a request that runs twice: with equal attempt ids, a restarted daemon
  # was granted the claim of its previous process.
  Scenario Outline: A restarted daemon is not granted the claims of its previous process
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
