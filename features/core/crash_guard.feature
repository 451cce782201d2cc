Feature: Requests that crash upstreams are refused everywhere

  Background:
    Given a crash guard with limit 2 and quarantine 600 s

  # Guards against marks for a single lost connection.
  Scenario: A cut connection alone is no crash
    When request "r" is cut at "desk-1" at 1.0 s
    And another connection to "desk-1" is cut at 1.6 s
    And another connection to "desk-2" is cut at 1.1 s
    Then no crash mark is sent
    And request "r" is not refused at 2.0 s

  Scenario: Two crashes refuse a request until the quarantine ends
    When request "r" is cut at "desk-1" at 1.0 s
    And another connection to "desk-1" is cut at 1.4 s
    Then request "r" is not refused at 2.0 s
    When another connection to "desk-2" is cut at 9.9 s
    And request "r" is cut at "desk-2" at 10.0 s
    Then request "r" is refused at 10.0 s
    And request "r" is refused at 609.9 s
    And request "r" is not refused at 610.1 s
    And request "s" is not refused at 10.0 s

  Scenario: One crash marks a request once
    When request "r" is cut at "desk-1" at 1.0 s
    And request "r" is cut at "desk-1" at 1.1 s
    And another connection to "desk-1" is cut at 1.2 s
    Then request "r" is not refused at 2.0 s

  # Guards against refusals of innocent requests in progress at the same time.
  Scenario: A whole answer clears the marks everywhere
    When request "r" is cut at "desk-1" at 1.0 s
    And another connection to "desk-1" is cut at 1.1 s
    And request "r" is answered
    Then the marks of "r" are cleared at the other members
    When request "r" is cut at "desk-2" at 2.0 s
    And another connection to "desk-2" is cut at 2.1 s
    Then request "r" is not refused at 3.0 s

  Scenario: An answer within the 500 ms clears a suspicion
    When request "r" is cut at "desk-1" at 1.0 s
    And request "r" is answered
    And another connection to "desk-1" is cut at 1.1 s
    Then no crash mark is sent

  Scenario: Marks of other members count
    When request "r" is cut at "desk-1" at 1.0 s
    And another connection to "desk-1" is cut at 1.1 s
    And another member marks "r" at 1.2 s
    Then request "r" is refused at 2.0 s
    When another member clears "r"
    Then request "r" is not refused at 2.0 s

  # Guards against a flood of different requests that exhausts memory.
  Scenario: Memory is bounded
    When 20000 different requests are cut and marked
    Then the guard holds at most 4096 marks and 1024 incidents
