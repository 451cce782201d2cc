Feature: Fuzzed bytes on the data path are never misread

  # Guards against request smuggling and against answers delivered to another caller.
  Scenario Outline: Split streams that are <kind>, seed <seed>
    When a caller sends 1500 <kind> streams with seed <seed> while another makes calls
    Then each forwarded request is one that a strict parser finds in the bytes sent
    And the other caller has received all its answers

    Examples:
      | kind    | seed |
      | mutated | 11   |
      | mutated | 12   |
      | random  | 13   |

  # Guards against truncated or altered answers that are taken for complete ones.
  Scenario Outline: Mutated, split and cut answers that are <kind>
    When an upstream sends 3000 mutated answers with seed <seed> that are <kind>
    Then each answer delivered as complete is complete to a strict parser

    Examples:
      | kind      | seed |
      | buffered  | 21   |
      | streamed  | 22   |
