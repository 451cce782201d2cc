Feature: Retries and hedged attempts are bounded

  # Guards against retries that overload a failing service.
  Scenario Outline: A share of <share> after <calls> calls allows <retries> retries
    Then a retry budget of <share> with <calls> calls at 0.5 s allows "<retries>"

    Examples:
      | share | calls | retries                 |
      | 0.1   | 100   | 10@0.6 1@9.9 1@10.1     |
      | 0.1   | 100   | 10@9.9                  |
      | 0.1   | 100   | 1@10.6                  |
      | 0.1   | 3     | 1@0.6 0@0.9 1@1.1 1@2.1 |
      | 0     | 100   | 1@0.6                   |

  # Guards against requests that run twice.
  Scenario Outline: Only attempts that are safe to repeat are retried
    Then "<failure>" after <attempts> of 2 attempts is retried: "<idempotent> <other>"

    Examples:
      | failure   | attempts | idempotent | other |
      | not_sent  | 1        | True       | True  |
      | not_run   | 1        | True       | True  |
      | cut       | 1        | True       | False |
      | error     | 1        | True       | False |
      | exhausted | 1        | False      | False |
      | not_sent  | 2        | False      | False |

  # Guards against hedged attempts that double the load.
  Scenario: Hedging starts after the 95th percentile of recent answers
    Then idempotent calls only are hedged 77 to 96 ms after answers of 1 to 100 ms
