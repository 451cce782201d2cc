Feature: The store client reports lost writes and keeps to its call budget

  # Guards against an error that hides whether a write may have happened, calls above the
  # budget, and watches that miss events or reconnect without backoff.
  Scenario Outline: <failure>
    Given simulated store client with "<rate>"
    When the simulation goes through "<events>"
    Then the simulation ends with "<checks>"

    Examples:
      | failure                       | rate | events                                                                                   | checks                                           |
      | A write response is lost      | 20   | store loses answers: 1, put: key one                                                     | maybe written: key one, nothing left             |
      | The connection is refused     | 20   | store refuses, put: key one                                                              | not sent, nothing left                           |
      | A transaction is repeated     | 20   | put: key one                                                                             | replace twice: key two                           |
      | Calls exceed the budget       | 10   | calls at once: 50                                                                        | refused for budget: 20                           |
      | A watch connection is closed  | 20   | watch, write missed: members/a 0 1, run: 5, write missed: members/a 2, run: 5, delete: members/a, run: 1 | reported: 0 1 2 deleted, watches counted: 3, nothing left |
      | A watch's revision is gone    | 20   | watch, store forgets revisions, cut connections, run: 60                                 | reset once, watches counted: 2                   |
      | A watch receives invalid data | 20   | watch, garbage, run: 5, write missed: members/a 0, run: 5                                | reported: 0                                      |
      | The store is restored         | 20   | put: key one, store is saved, put: key two, store is restored, put: key three, put: key four                                 | restores seen: 1                                 |
      | A watch outlives a restore    | 20   | watch, store is saved, write missed: members/a 0 1 2, run: 5, store is restored, run: 5                       | reset once, restores seen: 1, nothing left       |
      | The store is down             | 20   | watch, store refuses, run: 600                                                           | dials between: 60 240, nothing left              |
