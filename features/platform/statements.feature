Feature: What upstreams say of themselves is read from every answer

  Background:
    Given a data path of the platform

  # Guards against a statement that only one kind of answer is read for.
  Scenario Outline: <what> is read from <answer>
    When <answer> and "<header>"
    Then the gateway has heard that "<heard>"

    Examples:
      | what    | answer                                         | header            | heard  |
      | Leaving | an upstream answers a call with 200            | Server-Leaving: 1 | desk-1 leaves |
      | Leaving | an upstream answers a call with 500            | Server-Leaving: 1 | desk-1 leaves |
      | Leaving | an upstream answers a call with the head of a 200 | Server-Leaving: 1 | desk-1 leaves |
      | Leaving | an upstream answers a probe with 200           | Server-Leaving: 1 | desk-1 leaves |
      | Leaving | an upstream answers a probe with 503           | Server-Leaving: 1 | desk-1 leaves |
      | Nothing | an upstream answers a call with 200            | Server-Leaving: 0 | |
      | Nothing | an upstream answers a call with 421            | Server-Leaving: 1 | |
      | Nothing | an answer to another request comes with 200    | Server-Leaving: 1 | |
      | Nothing | an upstream that has started again answers a call with 200 | Server-Leaving: 1 | |
      | A pause | an upstream answers a call with 503            | Retry-After: 0.25 | desk-1 pauses 0.25 |
      | A pause | an upstream answers a probe with 503           | Retry-After: 2    | desk-1 pauses 2.0 |
      | Nothing | an upstream answers a call with 500            | Retry-After: 2    | |
      | Nothing | an upstream answers a call with 503            | Retry-After: soon | |
      | Nothing | an upstream answers a call with 503            | Retry-After: 0    | |
      | Nothing | an answer to another request comes with 503    | Retry-After: 2    | |
      | Nothing | an upstream that has started again answers a call with 503 | Retry-After: 2 | |

  # Guards against a value that keeps callers away for good, or is lost.
  Scenario Outline: Retry-After <value> means <meaning>
    Then the Retry-After "<value>" means "<meaning>"

    Examples:
      | value                          | meaning |
      | 3                              | 3.0     |
      | 0.125                          | 0.125   |
      | 00012                          | 12.0    |
      | Sun, 06 Nov 1994 08:49:47 GMT  | 10.0    |
      | Sunday, 06-Nov-94 08:49:47 GMT | 10.0    |
      | Sun Nov  6 08:49:47 1994       | 10.0    |
      | Sun, 06 Nov 1994 08:49:00 GMT  | 0.0     |
      | Sun, 06 Nov 9994 08:49:00 GMT  | 300.0   |
      | 4000                           | 300.0   |
      | 99999999999999999999           | 300.0   |
      | -1                             | nothing |
      | 1e3                            | nothing |
      | 1,2                            | nothing |
      | soon                           | nothing |
      | Sun, 36 Nov 1994 08:49:00 GMT  | nothing |
      |                                | nothing |
