Feature: A gateway that is cut off from the store refuses keys if revocation is strict

  # Guards against a key that is served long after it was taken away, by a gateway that
  # cannot hear of it, and against refusals by one that hears of it from others.
  Scenario Outline: After 5 s without the store, with <mirrors>, keys are <result>
    Given a store with configuration 3 and upstreams "i-1"
    And a gateway that follows it, with <kind> revocation within 5 s
    When 30 s passes
    Then keys are served
    When the gateway loses the store and has <mirrors>
    And 2 s passes
    Then keys are served
    When 3 s passes
    Then keys are <result>
    When the store answers the gateway again
    And 3 s passes
    Then keys are served

    Examples:
      | kind   | mirrors                         | result  |
      | strict | no mirror                       | refused |
      | strict | a mirror that has the store     | served  |
      | strict | a mirror without the store      | refused |
      | strict | a mirror that fell silent early | refused |
      | loose  | no mirror                       | served  |
