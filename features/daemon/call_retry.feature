Feature: Attempts are repeated only when that is safe

  # Guards against calls that fail although another upstream could run them.
  Scenario Outline: A refused connection is retried elsewhere
    Given a data path to 2 upstreams of the desk
    And upstream 1 of the desk refuses connections
    When the caller sends "<method> /a" with body "x"
    And the upstream answers 200 with body "ok"
    Then the caller receives 200 with body "ok"
    And 1 requests have reached the upstreams
    And the permits were released as "refused answered"

    Examples:
      | method |
      | GET    |
      | POST   |

  Scenario: An idempotent call is retried after a cut
    Given a data path to 2 upstreams of the desk
    When the caller sends "GET /a" without a body
    And the upstream cuts the connection
    And the upstream answers 200 with body "ok"
    Then the caller receives 200 with body "ok"
    And 2 requests have reached the upstreams
    And the permits were released as "cut answered"

  # Guards against a payment that runs twice.
  Scenario Outline: A non-idempotent call is not repeated once it has been sent
    Given a data path to 3 upstreams of the desk
    When the caller sends "POST /a" with body "x"
    And <event>
    Then the caller receives problem 502 with outcome "unknown"
    And 1 requests have reached the upstreams

    Examples:
      | event                                                                     |
      | the upstream cuts the connection                                          |
      | the upstream sends the bytes "HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n"  |

  Scenario: A non-idempotent call on a kept connection that was closed is not repeated
    Given a data path to 2 upstreams of the desk
    When the caller sends "POST /a" with body "x"
    And the upstream answers 200 with body "ok"
    Then the caller receives 200 with body "ok"
    When the caller sends "POST /a" with body "y"
    And the upstream cuts the connection
    Then the caller receives problem 502 with outcome "unknown"

  Scenario: A route declared idempotent is retried
    Given a data path to 2 upstreams of the desk
    When the caller sends "POST /search" with body "x"
    And the upstream cuts the connection
    And the upstream answers 200 with body "ok"
    Then the caller receives 200 with body "ok"

  Scenario: A call that the upstream did not run is retried, and reported if all refuse
    Given a data path to 2 upstreams of the desk
    When the caller sends "POST /a" with body "x"
    And the upstream sends the bytes "HTTP/1.1 503 No\r\nUpstream-Outcome: not_run\r\nContent-Length: 0\r\n\r\n"
    And the upstream sends the bytes "HTTP/1.1 503 No\r\nUpstream-Outcome: not_run\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n"
    Then the caller receives problem 503 with outcome "not_run"
    And the answer has header "Retry-After" with "7"
    And the permits were released as "shed shed"

  # Guards against a denial by the second upstream that hides a run at the first.
  Scenario: A cut attempt makes the outcome unknown even if the retry was not run
    Given a data path to 2 upstreams of the desk
    When the caller sends "GET /a" without a body
    And the upstream cuts the connection
    And the upstream sends the bytes "HTTP/1.1 503 No\r\nUpstream-Outcome: not_run\r\nContent-Length: 0\r\n\r\n"
    Then the caller receives problem 503 with outcome "unknown"

  # Guards against retries that multiply with the call depth.
  Scenario: An answer of a deeper gateway that gave up is final
    Given a data path to 2 upstreams of the desk
    When the caller sends "GET /a" without a body
    And the upstream sends the bytes "HTTP/1.1 502 No\r\nProxy-Status: banyanshelf; error=connection_refused\r\nContent-Length: 4\r\n\r\ndeep"
    Then the caller receives 502 with body "deep"
    And 1 requests have reached the upstreams

  Scenario: An error answer is passed on if the retry gets no permit
    Given a data path to 1 upstreams of the desk
    When the caller sends "GET /a" without a body
    And the upstream answers 500 with body "bad"
    Then the caller receives 500 with body "bad"

  # Guards against a slow upstream that holds up an idempotent call.
  Scenario: A slow idempotent call is hedged and the loser's connection closed
    Given a data path to 3 upstreams of the desk
    And the desk has answered often enough to hedge
    When the caller sends "GET /a" without a body
    And 0.02 seconds pass on the data path
    Then 2 requests have reached the upstreams
    When the upstream answers 200 with body "ok"
    Then the caller receives 200 with body "ok"
    And the log has 1 decisions with reason "hedge"

  Scenario: A slow non-idempotent call is not hedged
    Given a data path to 3 upstreams of the desk
    And the desk has answered often enough to hedge
    When the caller sends "POST /a" with body "x"
    And 0.02 seconds pass on the data path
    Then 1 requests have reached the upstreams

  # Guards against a request that takes down one upstream after the other.
  Scenario: A request that crashed two upstreams is refused
    Given a data path to 3 upstreams of the desk
    When the caller sends "POST /a" with body "poison"
    And the upstream crashes
    Then the caller receives problem 502 with outcome "unknown"
    And 1 crash mark is sent to the other members
    When another member marks the last request twice
    And the caller sends "POST /a" with body "poison"
    Then the caller receives problem 503 with outcome "not_run"
    When the caller sends "POST /a" with body "harmless"
    And the upstream answers 200 with body "ok"
    Then the caller receives 200 with body "ok"

  Scenario: A drain signal is reported
    Given a data path to 1 upstreams of the desk
    When the caller sends "GET /a" without a body
    And the upstream sends the bytes "HTTP/1.1 200 OK\r\nUpstream-State: draining\r\nUpstream-Load: in_flight=2, slots=3\r\nContent-Length: 2\r\n\r\nok"
    Then the caller receives 200 with body "ok"
    And the answer has no header "Upstream-Load"
    And "desk-1" is reported as leaving once
    And the load of 2 of 3 slots is noted

  Scenario: Repeated refusals are reported
    Given a data path to 1 upstreams of the desk
    And upstream 1 of the desk refuses connections
    When the caller sends "GET /a" without a body
    And the caller sends "GET /a" without a body
    Then "desk-1" is reported as leaving once
