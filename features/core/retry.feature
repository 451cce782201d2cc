Feature: Retries and hedged attempts are bounded

  # Guards against retries that overload a service in trouble.
  Scenario Outline: The budget follows the calls of the last 10 s
    Given a retry budget of <share>
    When <calls> calls are counted at 0.5 s
    Then <retries> retries are allowed at <time> s

    Examples:
      | share | calls | time | retries |
      | 0.1   | 100   | 0.6  | 10      |
      | 0.1   | 100   | 9.9  | 10      |
      | 0.1   | 100   | 10.1 | 1       |
      | 0.1   | 3     | 0.6  | 1       |
      | 0     | 100   | 0.6  | 1       |

  Scenario: A quiet service may retry once a second
    Given a retry budget of 0.1
    Then 1 retries are allowed at 0.1 s
    And 0 retries are allowed at 0.9 s
    And 1 retries are allowed at 1.1 s

  # Guards against work that runs twice.
  Scenario Outline: Only harmless repetitions are retried
    Given a retry policy with at most 2 attempts
    Then a "<failure>" after <attempts> attempts is retried: idempotent <idempotent>, other <other>

    Examples:
      | failure   | attempts | idempotent | other |
      | not_sent  | 1        | True       | True  |
      | not_run   | 1        | True       | True  |
      | cut       | 1        | True       | False |
      | error     | 1        | True       | False |
      | exhausted | 1        | False      | False |
      | not_sent  | 2        | False      | False |

  Scenario: Hedging starts after the 95th percentile of recent answers
    Given a retry policy with at most 2 attempts
    Then an idempotent call is not hedged
    When 100 answers take 1 to 100 ms
    Then an idempotent call is hedged after 96 ms at the latest and 77 ms at the earliest
    And another call is not hedged
