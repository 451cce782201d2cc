Feature: Daemons share members and configuration with and without the store

  # Guards against daemons that disagree on members or configuration after a store
  # outage, a partition, a restart or malformed messages, against retries that overload
  # the store, and against a host list that overrides a newer leaving notice.
  Scenario Outline: <failure>
    Given simulated daemons with "<count>"
    When the simulation goes through "<events>"
    Then the simulation ends with "<checks>"

    Examples: Members and configuration
      | failure                                | count | events                                                                                            | checks                                                                  |
      | No failure                             | 5     | run: 2                                                                                            | agreement, version in effect: 1, records in store, nothing left         |
      | The store is down for an hour          | 3     | run: 2, store refuses, run: 3600                                                                  | agreement, all roles kept, version in effect: 1                         |
      | The store returns after a change       | 3     | run: 2, store refuses, run: 60, apply, store answers, run: 20                                     | agreement, version in effect: 2, records in store                       |
      | Retries during an outage               | 14    | run: 2, store refuses, run: 300                                                                   | outage calls per second below: 1                                        |
      | Retries at the end of an outage        | 14    | run: 2, store refuses, run: 300, store answers, run: 30                                           | dials and calls in 100 ms below: 15, agreement                                 |
      | A restart while the store is down      | 4     | run: 2, store refuses, kill: 1, run: 10, start: 1, run: 60                                        | agreement, version in effect: 1                                         |
      | All start while the store is down      | 3     | store refuses, run: 300, store answers, run: 20                                                   | agreement, version in effect: 1, nothing left                           |
      | A daemon is partitioned                | 5     | run: 2, partition: 3 10, run: 60                                                                  | roles dropped: 3, agreement                                             |
      | A paused daemon gets a message first   | 3     | run: 2, message after pause: 1 5                                                                  | roles dropped: 1                                                        |
      | A daemon shuts down gracefully         | 4     | run: 2, leave: 2                                                                                  | member gone: 2, no link lost                                            |
      | Malformed bytes 1                      | 3     | run: 2, malformed: 1 60 1, no link lost, run: 60                                                  | agreement, version in effect: 1                                         |
      | Malformed bytes 2                      | 3     | run: 2, malformed: 1 60 2, no link lost, run: 60                                                  | agreement, version in effect: 1                                         |
      | Malformed bytes 3                      | 3     | run: 2, malformed: 1 60 3, no link lost, run: 60                                                  | agreement, version in effect: 1                                         |
      | An incarnation that cannot be refuted  | 3     | run: 2, huge incarnation reaches: 1, run: 20                                                      | agreement, all roles kept                                               |
      | A frame longer than any message        | 2     | run: 2, huge frame closes: 1                                                                      | no link lost                                                            |
      | A connection without Hello             | 2     | run: 2, no hello closes: 1                                                                        | no link lost                                                            |
      | The store is restored                  | 3     | run: 2, store is saved, apply, run: 5, store is restored, run: 20, apply, run: 2                  | agreement, version in effect: 3, records in store                       |
      | A restored store lacks a text          | 3     | run: 2, store is saved, apply, run: 5, store is restored, run: 20, start: 4, run: 5               | agreement, version in effect: 2, version in store: 2                    |
      | A restored store has no text           | 3     | run: 2, apply, run: 2, store is emptied, run: 20, start: 4, run: 5                                | agreement, version in effect: 2, version in store: 2                    |
      | A lower version is applied to the copy | 3     | run: 2, store is saved, apply, apply, run: 5, store is restored, apply to copy: 2 other, run: 20  | agreement, version in effect: 3, version in store: 3                    |
      | The same version is given out again    | 3     | run: 2, store is saved, apply, run: 5, store is restored, apply to copy: 2 other, run: 20         | agreement, version in effect: 3, host in effect: other, version in store: 3 |
      | A lease is given out again             | 3     | store is saved, run: 5, store is restored, start: 4, run: 100                                           | agreement, version in effect: 1, records in store                       |

    Examples: Upstreams
      | failure                                | count | events                                                                                            | checks                                                                  |
      | The host list lags                     | 3     | run: 2, host: desk-2 live, report: 1 desk-1, host: desk-3 live                                    | host is: desk-1 leaving, host is: desk-2 live                           |
      | The host list is up to date again      | 2     | run: 2, report: 1 desk-1, host: desk-1 leaving, host: desk-1 live                                 | host is: desk-1 live                                                    |
      | A host returns and a notice is delayed | 2     | run: 2, report: 1 desk-1, host: desk-1 gone, host is: desk-1 gone, host: desk-1 live, delayed notice: desk-1 2 | host is: desk-1 live                                          |
      | A notice is wrong                      | 2     | run: 2, report: 1 desk-1, run: 590, host is: desk-1 leaving, run: 11                              | host is: desk-1 live                                                    |
      | A daemon joins after the notice        | 2     | run: 2, report: 1 desk-1, start: 3, run: 2                                                        | host is: desk-1 leaving                                                 |
      | The host list is unreachable           | 2     | run: 2, host list ends for: 300, host is: desk-1 live, run: 10, host: desk-2 live                 | host is: desk-2 live, nothing left                                      |
      | The host list does not change          | 2     | run: 250                                                                                          | host list calls between: 20 24                                          |
