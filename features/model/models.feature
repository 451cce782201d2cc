Feature: The models of the core protocol hold, and broken variants are refuted

  Scenario Outline: The protocol keeps its properties
    When the model "<model>" is checked with the small bound
    Then every property of the model holds

    Examples:
      | model                  |
      | claims                 |
      | configuration          |
      | slots                  |
      | slots with local share |

  Scenario Outline: A model that refutes nothing would prove nothing
    When the broken variants of the model "<model>" are checked
    Then each broken variant is refuted as listed

    Examples:
      | model                  |
      | claims                 |
      | configuration          |
      | slots                  |
      | slots with local share |
