Feature: Daemons agree on who is alive without the store

  # Guards against members that disagree about who is alive after crashes, pauses,
  # partitions and lost messages, and against the removal of members that are alive.
  Scenario Outline: <failure>
    Given simulated group with "<size and seed>"
    When the simulation goes through "<events>"
    Then the simulation ends with "<checks>"

    Examples:
      | failure                               | size and seed | events                                             | checks                             |
      | A member is killed                    | 14 1          | run: 5, kill: 3, run: 6                            | agreement                          |
      | A member restarts without the store   | 14 1          | run: 5, kill: 3, run: 6, store: down, start: 3     | settled agreement                  |
      | A restarted member knows no other one | 50 1          | run: 5, store: down, kill: 3, run: 1, start: 3, run: 1.5 | knows: 3 50                  |
      | Messages are lost and reordered       | 14 11         | lose: 20, run: 120, lose: 0                        | settled agreement                  |
      | More messages are lost and reordered  | 14 12         | lose: 30, run: 120, lose: 0                        | settled agreement                  |
      | Two members cannot reach each other   | 8 2           | run: 5, break path: 1 2, run: 60                   | nobody ever removed                |
      | A member is paused for a long time    | 14 3          | run: 5, pause: 5 9, run: 8                         | member gone: 5                     |
      | A member returns from a long pause    | 14 3          | run: 5, pause: 5 9, run: 8                         | settled agreement, removal noticed: 5 |
      | A member returns from a partition     | 14 4          | run: 5, cut: 5 12                                  | settled agreement, removal noticed: 5 |
      | The group is split for an hour        | 10 5          | run: 5, store: down, cut: 5 3600                   | settled agreement, removal noticed: 5 |
      | A member is paused briefly            | 6 5           | run: 5, pause: 0 1.2, run: 30                      | nobody ever removed, roles kept: 0 |
      | The store is down for an hour         | 14 6          | run: 5, store: down, run: 3600                     | nobody ever removed, agreement     |
      | A record is read late                 | 8 7           | run: 5, kill: 2, run: 10, read old record of: 2    | agreement                          |
      | A member leaves as planned            | 14 8          | run: 5, leave: 4, run: 0.1                         | member gone: 4                     |
      | A leaving member still answers pings  | 14 8          | run: 5, leave: 4, run: 10                          | member gone: 4                     |
      | Updates are sent without end          | 14 9          | run: 5, leave: 4, run: 1, kill: 4, run: 40         | updates bounded and ended          |
      | Updates arrive in any order           | 1 10          | run: 1                                             | same outcome in any order          |
      | Random faults 1                       | 10 101        | store: down, lose: 5, random faults: 120, lose: 0  | settled agreement                  |
      | Random faults 2                       | 10 102        | store: down, lose: 5, random faults: 120, lose: 0  | settled agreement                  |
      | Random faults 3                       | 10 103        | store: down, lose: 5, random faults: 120, lose: 0  | settled agreement                  |
      | Random faults 4                       | 10 104        | store: down, lose: 5, random faults: 120, lose: 0  | settled agreement                  |
      | Random faults 5                       | 10 105        | store: down, lose: 5, random faults: 120, lose: 0  | settled agreement                  |
      | Random faults 6                       | 10 106        | store: down, lose: 5, random faults: 120, lose: 0  | settled agreement                  |
