Feature: A request whose upstreams go silent is stopped with any number of gateways

  # Guards against crashes that no gateway notices, as no connection is cut or refused.
  Scenario Outline: <gateways> gateways notice upstreams that go silent
    Given <gateways> gateways in <zones> zones and <upstreams> upstreams that a request crashes
    And upstreams go silent when they crash
    When callers send the request 2 times and others 40 times a second for <seconds> s
    Then the request has reached no more upstreams than the operators allow

    Examples:
      | gateways | zones | upstreams | seconds |
      | 13       | 3     | 26        | 12      |
      | 312      | 5     | 660       | 8       |

  # Guards against harmless requests that are refused everywhere because one link or one
  # upstream fails without a word. The request is unsafe, so that it has one attempt.
  Scenario Outline: <gateways> gateways refuse nothing while <fault>
    Given <gateways> gateways in <zones> zones and <upstreams> upstreams that a request crashes
    And <fault>
    When callers send the same harmless request 10 times a second for <seconds> s, and others
    Then no harmless request was refused
    And some requests have got no answer of an upstream

    Examples:
      | gateways | zones | upstreams | seconds | fault                                      |
      | 13       | 3     | 4         | 12      | one gateway has lost its link to one upstream |
      | 13       | 3     | 4         | 12      | one upstream is frozen                     |
      | 312      | 5     | 4         | 8       | one upstream is frozen                     |
