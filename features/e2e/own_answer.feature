Feature: Each caller gets the answer to its own call only

  Background:
    Given a local fleet of 3 daemons with 3 upstreams per service and a time limit of 400 ms

  Scenario: Answers that arrive out of order reach their own callers
    When 300 calls of random duration reach service "desk", seed 12
    Then every caller got its own whole answer

  Scenario: Answers that arrive after the time limit reach nobody else
    Given upstream "desk-1" works 60 times slower
    When 120 lookups per second of service "desk" for 6 s, seed 31
    Then no call under load got a wrong or cut answer
