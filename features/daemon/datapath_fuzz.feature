Feature: Hostile bytes do no harm on the data path

  # Guards against smuggled requests and against answers that reach another caller.
  Scenario Outline: Split streams that are <kind>, seed <seed>
    When a caller sends 1500 <kind> streams with seed <seed> beside another
    Then each forwarded request is what a strict reader finds in the bytes sent
    And the other caller has received all its answers

    Examples:
      | kind    | seed |
      | mutated | 11   |
      | mutated | 12   |
      | random  | 13   |

  # Guards against truncated or altered answers that pass for whole ones.
  Scenario Outline: Mutated, split and cut answers that are <kind>
    When an upstream sends 3000 mutated answers with seed <seed> that are <kind>
    Then each answer delivered as whole is whole to a strict reader

    Examples:
      | kind      | seed |
      | collected | 21   |
      | streamed  | 22   |
