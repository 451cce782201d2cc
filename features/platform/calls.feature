Feature: Calls with the platform's header fields

  Background:
    Given a data path of the platform

  # Guards against work that continues after its client has timed out, and against requests
  # to another service's server at a reused address.
  Scenario: An upstream receives the remaining time and the expected instance
    When a client sends a safe request with 400 ms left
    Then the upstream gets at most 400 ms and its own id as the expected instance
    And the upstream gets the attempt id and none of the gateway's internal fields

  # Guards against a caller that names a workspace of its choice, and against a key that
  # reaches upstreams; the fields are spelled in several ways and repeated.
  Scenario Outline: The upstream gets <expected> as the workspace for <case>
    Given the platform's text with <tenants>
    When a client sends "<path>" with the key "<key>" and workspaces of its own choice
    Then the upstream gets the workspace "<workspace>" and no key

    Examples:
      | expected | case                                     | tenants       | path      | key | workspace |
      | its name | a known key                              | keys one=k-1  | /safe/1   | k-1 | one       |
      | nothing  | an anonymous route                       | keys one=k-1  | /open/1   |     |           |
      | nothing  | an unknown key on an anonymous route     | keys one=k-1  | /open/1   | k-9 |           |
      | its name | a known key on an anonymous route        | keys one=k-1  | /open/1   | k-1 | one       |
      | nothing  | a configuration without workspaces       | no workspaces | /safe/1   | k-1 |           |

  # Guards against a 401 for what is only unknown here: callers do not repeat after one.
  Scenario: A gateway without a configuration answers 503 to a request with a key
    Given a data path of the platform without a configuration
    When a client sends "/safe/1" with the key "k-1" and workspaces of its own choice
    Then the client gets 503 with a Retry-After below 2 s

  # Guards against delivery of the answer to another request.
  Scenario: An answer with another attempt id is skipped
    When a client sends a safe request with 400 ms left
    And the upstream answers "200 other" and then "200 mine"
    Then the client gets 200 with body "mine"
    And the upstream's connection is closed

  # Guards against a 200 that did not come from an upstream.
  Scenario: A 200 without a signature is not accepted
    When a client sends an unsafe request with 400 ms left
    And the upstream answers 200 without a signature
    Then the client gets 502

  # Guards against a truncated answer that looks complete.
  Scenario Outline: An answer without a length that ends with <end> is <result>
    When a client sends an unsafe request with 400 ms left
    And the upstream answers "until the end" without a length and ends with <end>
    Then the client gets <status>

    Examples:
      | end     | result | status |
      | a close | whole  | 200    |
      | a reset | cut    | 502    |

  # Guards against an empty 200 in place of an answer that stopped in its head.
  Scenario: An upstream that closes within the head of an answer gives 502
    When a client sends an unsafe request and the upstream closes within the head
    Then every client gets 502

  # Guards against a 503, which says that a request has not run, for one that may have run.
  Scenario: An unsafe request on a reset connection gets 502 and no retry
    When a client sends an unsafe request with 400 ms left
    And the upstream resets the connection
    Then the client gets 502
    And 1 request has reached an upstream

  # Guards against a failure where a retry is safe, because the upstream has not run the
  # request.
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

  # Guards against more attempts than the route allows.
  Scenario: After its last attempt a rejected request gets 503 with Retry-After
    When a client sends an unsafe request with 400 ms left
    And the upstream rejects it with 503
    And the upstream rejects it with 503
    Then the client gets 503 with a Retry-After below 1.5 s
    And 2 requests have reached an upstream

  # Guards against a caller that is told to return after its target, though another upstream
  # may have room at once.
  Scenario: A caller that upstreams have rejected may return well before its target
    When a client sends an unsafe request with 400 ms left
    And the upstream rejects it with 503
    And the upstream rejects it with 503
    Then the client gets 503 with a Retry-After below 0.1 s

  # Guards against a second attempt for a late answer where the route allows only one.
  Scenario: A route with one attempt gets no second attempt
    When a client sends a single-attempt request with 400 ms left
    And the answer is expected late
    Then 1 request has reached an upstream

  # Guards against a client that gets no answer when its deadline has passed.
  Scenario: At the deadline the client gets 504
    When a client sends a safe request with 100 ms left
    And 0.11 s pass without an answer
    Then the client gets 504

  # Guards against a 404 for every request before the configuration has been read.
  Scenario: Without a configuration a request gets 503
    Given a data path of the platform without a configuration
    When a client sends a safe request with 400 ms left
    Then the client gets 503 with a Retry-After below 1.5 s

  # Guards against an unsafe request that its client repeats: the status promises that the
  # request has not run, and the upstream has not said so.
  Scenario Outline: An upstream's <status> that does not say "not executed" gives 502
    When a client sends an unsafe request with 400 ms left
    And the upstream answers "<status> busy"
    Then the client gets 502
    And 1 request has reached an upstream

    Examples:
      | status |
      | 408    |
      | 429    |
      | 503    |

  # Guards against the same promise by an answer that is too long to be collected.
  Scenario Outline: A long <status> that does not say "not executed" gives 502
    When a client sends an unsafe request with 400 ms left
    And the upstream begins a <status> of 300000 bytes
    Then the client gets 502
    And 1 request has reached an upstream

    Examples:
      | status |
      | 408    |
      | 429    |
      | 503    |

  # Guards against a late answer to a call that is taken for the answer of a health probe,
  # and against the answer of a probe that reaches a client.
  Scenario: A probe skips the late answer to a call
    When the health probe of an upstream is answered with a call's 200 and its own 503
    Then the health probe has failed

  # Guards against 503 or a second upstream for a request that its upstream is running. The
  # refusal of a probe has no attempt id.
  Scenario: A copy of a probe's refusal is not taken for that of a call
    Given a data path of the platform with one upstream
    When the health probe of an upstream is rejected
    And a client sends an unsafe request with 400 ms left
    And the refusal of the health probe arrives once more
    And the upstream answers "200 mine"
    Then the client gets 200 with body "mine"

  # Guards against a split whose sequence starts anew at the same place with each version:
  # while versions follow each other quickly, one service got all of a gateway's requests.
  Scenario: A split follows its weights while versions follow each other quickly
    When 150 versions take effect and 2 requests arrive on a split of 7 to 3 after each one
    Then the service of the larger part has got 0.6 to 0.8 of the requests

  # Guards against requests that are moved to the other service of a split because one has
  # no usable upstream: what it cannot take is refused as not run.
  Scenario: A part of a split without a usable upstream refuses its share
    Given the placement refuses all calls of service "shop"
    When 150 versions take effect and 2 requests arrive on a split of 7 to 3 after each one
    Then the service of the larger part has got 0.6 to 0.8 of the requests
    And every request of "shop" got 503 with a Retry-After

  # Guards against a status outside 200 to 599 that reaches a client as an answer.
  Scenario Outline: An answer with status <status> gives 502
    When a client sends an unsafe request with 400 ms left
    And the upstream answers "<status> mine"
    Then the client gets 502
    And 1 request has reached an upstream

    Examples:
      | status |
      | 000    |
      | 600    |
      | 999    |

  # Guards against an upstream's error that is replaced by another one.
  Scenario: An upstream's error is passed on unchanged
    When a client sends an unsafe request with 400 ms left
    And the upstream answers "500 broken"
    Then the client gets 500 with body "broken"
    And 1 request has reached an upstream

  # Guards against a 503, which says that a request has not run, after an attempt that may
  # have run: no upstream is left for the retry.
  Scenario: After a reset attempt a missing upstream gives 502
    Given a data path of the platform with one upstream
    When a client sends a safe request with 400 ms left
    And the upstream resets the connection
    Then the client gets 502

  # Guards against a client's retry that is placed as if the client had not waited before:
  # under overload it took the slot of a call that could still meet its target.
  Scenario: A client's retry is placed by the rest of its target time
    When 20 clients send targeted requests with 500 ms left, and get answers
    And a client sends a targeted request with 380 ms left
    Then the placement is asked for an answer within 80 ms
    And its log line says that 80 ms were left
