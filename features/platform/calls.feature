Feature: Calls in the platform's header fields

  Background:
    Given a data path of the platform

  # Guards against work that goes on after its client has given up, and against a server
  # of another service at a reused address.
  Scenario: An upstream is told the time left and which instance must run the request
    When a client sends a safe request with 400 ms left
    Then the upstream gets at most 400 ms and its own id as the expected instance
    And the upstream gets the attempt id and nothing of the product's own fields

  # Guards against the answer to another request.
  Scenario: An answer that names another request is skipped
    When a client sends a safe request with 400 ms left
    And the upstream answers "200 other" and then "200 mine"
    Then the client gets 200 with body "mine"
    And the upstream's connection is closed

  # Guards against a success that no upstream has given.
  Scenario: A success without a signature is no answer
    When a client sends an unsafe request with 400 ms left
    And the upstream answers 200 without a signature
    Then the client gets 502

  # Guards against an answer that ends early and looks complete.
  Scenario Outline: An answer without a length that ends with <end> is <result>
    When a client sends an unsafe request with 400 ms left
    And the upstream answers "until the end" without a length and ends with <end>
    Then the client gets <status>

    Examples:
      | end     | result | status |
      | a close | whole  | 200    |
      | a reset | cut    | 502    |

  # Guards against a promise that a request has not run although it may have.
  Scenario: A cut unsafe request is not promised to be unrun, and not repeated
    When a client sends an unsafe request with 400 ms left
    And the upstream resets the connection
    Then the client gets 502
    And 1 request has reached an upstream

  # Guards against a failure that could have been repaired without any risk.
  Scenario Outline: A request that was rejected with <status> goes to another upstream
    When a client sends an unsafe request with 400 ms left
    And the upstream rejects it with <status>
    And the upstream answers "200 mine"
    Then the client gets 200 with body "mine"

    Examples:
      | status |
      | 503    |
      | 429    |
      | 421    |

  # Guards against more upstreams than the route allows.
  Scenario: After its attempts a rejected request is refused with a time to come back
    When a client sends an unsafe request with 400 ms left
    And the upstream rejects it with 503
    And the upstream rejects it with 503
    Then the client gets 503 with a time to come back below 1.5 s
    And 2 requests have reached an upstream

  # Guards against a second attempt beyond the attempts of the route.
  Scenario: A route with one attempt gets no second one
    When a client sends a single-attempt request with 400 ms left
    And the answer is expected late
    Then 1 request has reached an upstream

  # Guards against an answer that is held until the client's deadline.
  Scenario: At the deadline the client is told at once
    When a client sends a safe request with 100 ms left
    And 0.11 s pass without an answer
    Then the client gets 504

  # Guards against requests that are refused as unknown before anything is known.
  Scenario: Without a configuration a request is refused as not run
    Given a data path of the platform without a configuration
    When a client sends a safe request with 400 ms left
    Then the client gets 503 with a time to come back below 1.5 s

  # Guards against an upstream's failure that is passed on as another one.
  Scenario: An upstream's own failure is passed on as it is
    When a client sends an unsafe request with 400 ms left
    And the upstream answers "500 broken"
    Then the client gets 500 with body "broken"
    And 1 request has reached an upstream

  # Guards against REFUSED: a promise after an attempt that may have run.
  Scenario: After a cut attempt a missing upstream is no promise
    Given a data path of the platform with one upstream
    When a client sends a safe request with 400 ms left
    And the upstream resets the connection
    Then the client gets 502

  # Guards against a later try that is placed as if its client had not waited before:
  # under overload it took the slot of a call that could still be in time.
  Scenario: A later try is placed by the time that its client has waited
    When 20 clients send targeted requests with 500 ms left, and get answers
    And a client sends a targeted request with 380 ms left
    Then the placement is asked for an answer within 80 ms
    And its log line says that 80 ms were left
