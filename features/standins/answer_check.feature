Feature: The load generator detects incorrect answers

  Scenario Outline: An answer to another call or with a damaged body is judged as wrong
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
