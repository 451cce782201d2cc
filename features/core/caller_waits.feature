Feature: The time that a caller waits tells how long ago it first tried

  # Guards against a caller's later try that is treated like a new call: under overload,
  # calls that could not be in time any more took the slots of those that could.
  Scenario Outline: A later try with <left> ms left comes after <low> to <high> ms
    Given 60 first tries with 415 to 490 ms left
    Then a caller with <left> ms left has waited <low> to <high> ms

    Examples:
      | left | low | high |
      | 450  | 0   | 0    |
      | 400  | 0   | 0    |
      | 300  | 115 | 190  |
      | 100  | 315 | 390  |
      | 3000 | 0   | 0    |

  # Guards against new calls that are taken for later tries of less patient callers.
  Scenario: First tries have not waited
    Given 200 first tries with 400 to 484 ms left
    Then none of them has waited

  # Guards against a burst of later tries that pass for first ones.
  Scenario: Later tries are known while they are half of the calls
    Given 32 first tries with 415 to 490 ms left
    When 32 calls come with 260 ms left
    Then a caller with 260 ms left has waited 155 to 230 ms

  # Guards against a few patient callers that make all others look late.
  Scenario: A few patient callers change nothing
    Given 60 first tries with 415 to 490 ms left
    When 3 calls come with 5000 ms left
    Then a caller with 450 ms left has waited 0 to 0 ms

  # Guards against times that an earlier configuration or other callers have set.
  Scenario: Callers that wait less from now on are first tries again
    Given 60 first tries with 415 to 490 ms left
    When 64 calls come with 200 ms left
    Then a caller with 200 ms left has waited 0 to 0 ms

  # Guards against memory for routes that have long been removed.
  Scenario: Routes are forgotten
    Given 60 first tries with 415 to 490 ms left
    When calls come on 1000 other routes
    Then a caller with 300 ms left has waited 115 to 190 ms
    When calls come on 2000 other routes
    Then a caller with 300 ms left has waited 0 to 0 ms
