Feature: A replica follows the revisions of the store and never returns to earlier ones

  # Guards against an upstream that is used again after its removal was seen: answers of
  # the store and of mirrors arrive out of order and may be older than the replica.
  Scenario Outline: <case>
    Given a replica
    When the replica receives "<events>"
    Then the replica holds "<items>" at revision <revision>

    Examples:
      | case                                              | events                                  | items    | revision |
      | A snapshot removes the items that it lacks        | load 5 a=1 b=2; load 7 a=1              | a=1      | 7        |
      | An older snapshot changes nothing                 | load 5 a=1; load 4 b=2                  | a=1      | 5        |
      | A change that is older than the item is ignored   | load 5 a=5; apply 6 a=3                 | a=5      | 6        |
      | A removal that is older than the item is ignored  | load 5 a=5; apply 6 a-4                 | a=5      | 6        |
      | A newer removal removes the item                  | load 5 a=5; apply 6 a-6                 |          | 6        |
      | A removed key that is written again is restored   | load 5 a=5; apply 7 a-6 a=7             | a=7      | 7        |
      | A page that is older than a change keeps the item | load 5 a=1; apply 8 b=8; load 7 a=1     | a=1 b=8  | 8        |

  # Guards against a replica that stays at the revisions from before a restore of the store.
  Scenario Outline: <case>
    Given a replica
    When the replica receives "<events>"
    Then the replica holds "<items>" at revision <position>

    Examples:
      | case                                                 | events                                     | items   | position |
      | A restored snapshot replaces all items               | load 9 a=8 b=9; load 2:4 a=3 c=4           | a=3 c=4 | 2:4      |
      | A restored snapshot may be ahead of the replica      | load 9 a=8 b=2; load 2:12 a=11             | a=11    | 2:12     |
      | A snapshot from before the restore changes nothing   | load 9 a=8; load 2:4 a=3; load 1:11 a=10   | a=3     | 2:4      |
      | A change from before the restore changes nothing     | load 9 a=8; load 2:4 a=3; apply 1:11 a=10  | a=3     | 2:4      |
      | A change of the next generation needs a snapshot     | load 9 a=8; apply 2:10 b=10                | a=8     | 9        |
      | Revisions that are given out again are news          | load 9 a=8; load 2:4 a=3; apply 2:8 a=8    | a=8     | 2:8      |
      | Restores in a row                                    | load 9 a=8; load 2:4 a=3; load 3:3 a=3 b=2 | a=3 b=2 | 3:3      |

  # Guards against a mirror that omits changes which it no longer knows.
  Scenario Outline: Changes after <revision> are <changes>
    Given a replica
    When the replica receives "load 5 a=1; apply 6 b=6; apply 8 a-8"
    Then the replica returns "<changes>" after revision <revision>

    Examples:
      | revision | changes |
      | 4        | unknown |
      | 5        | b=6 a-8 |
      | 6        | a-8     |
      | 8        | nothing |
      | 2:8      | unknown |
      | 0:8      | unknown |
