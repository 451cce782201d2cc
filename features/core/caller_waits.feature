Feature: The time since a caller's first attempt is estimated from its deadline

  # Guards against retries that are treated like new calls: under overload, calls that
  # could no longer be answered in time took the slots of calls that could.
  Scenario Outline: A call with <left> ms left has waited for <low> to <high> ms
    Given 60 first attempts with 415 to 490 ms left
    Then a caller with <left> ms left has waited <low> to <high> ms

    Examples:
      | left | low | high |
      | 450  | 0   | 0    |
      | 400  | 0   | 0    |
      | 300  | 115 | 190  |
      | 100  | 315 | 390  |
      | 3000 | 0   | 0    |

  # Guards against first attempts with a shorter timeout that are mistaken for retries.
  Scenario: First attempts have not waited
    Given 200 first attempts with 400 to 484 ms left
    Then none of them has waited

  # Guards against a burst of retries that are mistaken for first attempts.
  Scenario: Retries are recognized when they are half of the calls
    Given 32 first attempts with 415 to 490 ms left
    When 32 calls arrive with 260 ms left
    Then a caller with 260 ms left has waited 155 to 230 ms

  # Guards against a few callers with a long timeout that make all others look like
  # retries.
  Scenario: A few callers with a long timeout have no effect
    Given 60 first attempts with 415 to 490 ms left
    When 3 calls arrive with 5000 ms left
    Then a caller with 450 ms left has waited 0 to 0 ms

  # Guards against estimates from outdated deadlines, after a change of the
  # configuration or of the callers.
  Scenario: Calls with a new, shorter timeout count as first attempts
    Given 60 first attempts with 415 to 490 ms left
    When 64 calls arrive with 200 ms left
    Then a caller with 200 ms left has waited 0 to 0 ms

  # Guards against memory use that grows with routes that were removed.
  Scenario: The oldest routes are dropped
    Given 60 first attempts with 415 to 490 ms left
    When calls arrive on 1000 other routes
    Then a caller with 300 ms left has waited 115 to 190 ms
    When calls arrive on 2000 other routes
    Then a caller with 300 ms left has waited 0 to 0 ms
