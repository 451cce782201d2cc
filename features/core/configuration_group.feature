Feature: An accepted configuration takes effect at every member and is never reverted

  # Guards against members that miss a version because notices, store reads or processes
  # fail, and against a member that returns to an earlier version.
  Scenario Outline: <failure>
    Given simulated <kind> with "<arguments>"
    When the simulation goes through "<events>"
    Then the simulation ends with "<checks>"

    Examples: Groups
      | kind  | failure                             | arguments | events                                                                   | checks                                         |
      | group | Only one member saw the version     | 14 1      | run: 2, apply, run: 5, apply seen by: 3, store: down, run: 5             | all have version: 2                            |
      | group | All notices are lost                | 14 1      | run: 2, apply, run: 5, lose: 100, apply seen by: 3, run: 0.5, store: down, lose: 0, run: 10 | all have version: 2         |
      | group | A member was away                   | 6 2       | run: 2, apply, run: 5, pause: 2 20, apply, apply, run: 15, store: down   | settled newest version, no version decreased   |
      | group | All restart while the store is down | 8 3       | run: 2, apply, run: 5, store: down, restart all within: 400              | settled newest version                         |
      | group | Random faults 1                     | 10 201    | run: 2, lose: 5, apply during faults: 40, lose: 0                        | settled newest version, no version decreased   |
      | group | Random faults 2                     | 10 202    | run: 2, lose: 5, apply during faults: 40, lose: 0                        | settled newest version, no version decreased   |
      | group | Random faults 3                     | 10 203    | run: 2, lose: 5, apply during faults: 40, lose: 0                        | settled newest version, no version decreased   |
      | group | Random faults 4                     | 10 204    | run: 2, lose: 5, apply during faults: 40, lose: 0                        | settled newest version, no version decreased   |

    Examples: One member
      | kind   | failure                               | arguments | events                                                                         | checks         |
      | keeper | A stale peer at start                 | a b       | text: a 3, has: 0, text: b 5, store empty                                      | has: 5         |
      | keeper | A stale store at start                | a         | text: a 7, stored: 6                                                           | has: 7         |
      | keeper | The store does not answer at start    | a         | text: a 2, wait: 0.9, has: 0, wait: 0.2                                        | has: 2         |
      | keeper | A stale peer later                    | a b c d   | stored: 4, wait: 1.1, notifies: 3, text: b 3                                   | has: 4         |
      | keeper | A text does not match its digest      | a b       | stored: 1, wait: 1.1, notice: a 2, asks: a, notice: b 2, remembers: b 2, wrong text: a 2 | has: 1, asks: b |
      | keeper | A fetch is not answered               | a b       | stored: 1, wait: 1.1, notice: a 2, notice: b 2, wait: 1.1                      | asks: b        |
      | keeper | A peer fetches what is not there      | a         | stored: 4, wait: 1.1, fetch: a 4                                               | answers: a 4   |
