Feature: The load generator notices answers that are not its own

  Scenario Outline: A false answer is counted as wrong
    Given a call with token "a-1"
    When an answer with <fault> arrives
    Then the answer is judged "<verdict>"

    Examples:
      | fault                      | verdict    |
      | no fault                   | ok         |
      | the token of another       | wrong      |
      | the body of another        | wrong      |
      | a shortened body           | wrong      |
      | a not_run problem          | not_run    |
      | an error without reason    | status_500 |
      | an error meant for another | wrong      |
