Feature: Requests that two servers could read differently never pass

  # Guards against request smuggling through the gateway.
  Scenario Outline: A malformed or ambiguous request is refused and not forwarded
    Given a data path that takes bodies up to 100 bytes
    When the caller sends the bytes "<bytes>"
    Then the caller receives problem <status> with outcome "not_run"
    And the caller's connection is closed
    And 0 requests have reached the upstreams

    Examples:
      | bytes | status |
      | POST /a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 400 |
      | POST /a HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n | 400 |
      | POST /a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx | 400 |
      | POST /a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: +1\r\n\r\nx | 400 |
      | POST /a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 1, 1\r\n\r\nx | 400 |
      | POST /a HTTP/1.1\r\nHost: desk.example\r\nContent-Length : 1\r\n\r\nx | 400 |
      | POST /a HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n | 400 |
      | POST /a HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n | 400 |
      | POST /a HTTP/1.0\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 400 |
      | GET /a HTTP/1.1\r\nHost: desk.example\r\nX: a\r\n folded\r\n\r\n | 400 |
      | GET /a HTTP/1.1\r\nHost: desk.example\nX: a\r\n\r\n | 400 |
      | GET /a HTTP/1.1\r\nHost: desk.example\r\nX: a\x00b\r\n\r\n | 400 |
      | GET /a HTTP/1.1\r\nHost: desk.example\r\nHost: other.example\r\n\r\n | 400 |
      | GET /a HTTP/1.1\r\nHost: desk.example/x\r\n\r\n | 400 |
      | GET /a HTTP/1.1\r\n\r\n | 400 |
      | GET http://other.example/a HTTP/1.1\r\nHost: desk.example\r\n\r\n | 400 |
      | GET /a HTTP/2.0\r\nHost: desk.example\r\n\r\n | 400 |
      | GET /a\r\n\r\n | 400 |
      | CONNECT desk.example:80 HTTP/1.1\r\nHost: desk.example\r\n\r\n | 400 |
      | GET /a HTTP/1.1\r\nHost: desk.example\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n | 400 |
      | GET /a HTTP/1.1\r\nHost: desk.example\r\nExpect: 200-ok\r\n\r\n | 400 |
      | POST /a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 101\r\n\r\n | 413 |

  Scenario: A chunked body beyond the limit is refused
    Given a data path that takes bodies up to 3 bytes
    When the caller sends the bytes "POST /a HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n"
    Then the caller receives problem 413 with outcome "not_run"
    And 0 requests have reached the upstreams

  Scenario Outline: A head beyond the limits is refused before its end
    Given a data path to 1 upstreams of the desk
    When the caller sends <count> times the bytes "<bytes>" after a request line
    Then the caller receives problem 431 with outcome "not_run"
    And the caller's connection is closed

    Examples:
      | count | bytes                 |
      | 101   | X: a\r\n              |
      | 600   | X-Name: 0123456789012345678901234567890\r\n |
      | 20000 | a                     |

  # Guards against answers that reach the wrong one of several pipelined requests.
  Scenario: Pipelined requests are answered in order, one at a time
    Given a data path to 3 upstreams of the desk
    When the caller sends the bytes "GET /1 HTTP/1.1\r\nHost: desk.example\r\n\r\nGET /2 HTTP/1.1\r\nHost: desk.example\r\n\r\n"
    Then 1 requests have reached the upstreams
    When the upstream answers 200 with body "one"
    And the upstream answers 200 with body "two"
    Then the upstream received a request that starts with "GET /2 "
    And the caller receives the bodies "one two" in order

  Scenario: A whole request before a malformed one is still answered
    Given a data path to 3 upstreams of the desk
    When the caller sends the bytes "GET /1 HTTP/1.1\r\nHost: desk.example\r\n\r\nBAD\r\n\r\n"
    And the upstream answers 200 with body "one"
    Then 1 requests have reached the upstreams
    And the caller's connection is closed

  Scenario: A chunked body is forwarded whole and its trailers are dropped
    Given a data path to 1 upstreams of the desk
    When the caller sends the bytes "POST /a HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
    Then 0 requests have reached the upstreams
    When the caller sends the bytes "1\r\nc\r\n0\r\nX-Trailer: t\r\n\r\n"
    And the upstream answers 200 with body "ok"
    Then the upstream received the header "Content-Length: 3"
    And the upstream received no header that contains "trailer"
    And the upstream received the header "abc"

  Scenario: A caller that waits for permission to send its body gets it
    Given a data path to 1 upstreams of the desk
    When the caller sends the bytes "POST /a HTTP/1.1\r\nHost: desk.example\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
    Then the caller receives 100 with body ""
    When the caller sends the bytes "hi"
    And the upstream answers 200 with body "ok"
    Then the caller receives 200 with body "ok"

  # Guards against callers that hold connections without sending.
  Scenario Outline: A caller that is too slow is refused
    Given a data path to 1 upstreams of the desk
    When the caller sends the bytes "<bytes>"
    And 5.0 seconds pass on the data path
    Then the caller's connection stays open
    When 31.0 seconds pass on the data path
    And 1.0 seconds pass on the data path
    Then the caller receives problem 408 with outcome "not_run"
    And the caller's connection is closed

    Examples:
      | bytes                                                                  |
      | GET /a HTTP/1.1\r\nHost:                                               |
      | POST /a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 3\r\n\r\nab  |

  Scenario: One connection too many is refused
    Given a data path that takes 1 connection
    When another caller connects
    Then the caller receives problem 503 with outcome "not_run"
    And the caller's connection is closed
