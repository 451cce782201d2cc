Feature: Hostile bytes do no harm on the data path

  # Guards against smuggled requests and against answers that reach another caller.
  Scenario Outline: Mutated and split requests
    When a caller sends <rounds> mutated request streams with seed <seed> beside another caller
    Then each forwarded request is what a strict reader finds in the bytes sent
    And each caller has received answers to its own requests only
    And the other caller has received all its answers

    Examples:
      | rounds | seed |
      | 1500   | 11   |
      | 1500   | 12   |

  Scenario: Random bytes
    When a caller sends 1500 random streams with seed 13 beside another caller
    Then each forwarded request is what a strict reader finds in the bytes sent
    And the other caller has received all its answers

  # Guards against truncated or altered answers that pass for whole ones.
  Scenario Outline: Mutated, split and cut answers that are <kind>
    When an upstream sends 3000 mutated answers with seed <seed> that are <kind>
    Then each answer delivered as whole is whole to a strict reader

    Examples:
      | kind      | seed |
      | collected | 21   |
      | streamed  | 22   |
