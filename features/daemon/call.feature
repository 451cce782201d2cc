Feature: A call passes through the gateway unchanged

  # Guards against answers that are lost, changed or sent to the wrong request.
  Scenario Outline: A plain call is forwarded and answered
    Given a data path to 2 upstreams of the desk
    When the caller sends "<request>" with body "<body>"
    And the upstream answers <status> with body "done"
    Then the caller receives <status> with body "done"
    And the upstream received a request that starts with "<request> HTTP/1.1"
    And the permits were released as "answered"

    Examples:
      | request         | body  | status |
      | GET /sheets?a=b | x     | 200    |
      | POST /sheets    | hello | 201    |

  # Guards against headers of one connection that leak into the next one.
  Scenario: Hop-by-hop headers stay on their connection
    Given a data path to 1 upstreams of the desk
    When the caller sends "GET /a" with header "Connection: keep-alive, X-Hop, Host\r\nX-Hop: secret\r\nTE: trailers"
    And the upstream sends the bytes "HTTP/1.1 200 OK\r\nConnection: X-Back\r\nX-Back: secret\r\nContent-Length: 2\r\n\r\nok"
    Then the caller receives 200 with body "ok"
    And the answer has no header "X-Back"
    And the upstream received no header that contains "secret"
    And the upstream received no header that contains "trailers"
    And the upstream received the header "Host: desk.example"

  # Guards against callers that pass for backend servers.
  Scenario: Internal headers of callers are stripped
    Given a data path to 1 upstreams of the desk
    When the caller sends "GET /a" with header "Banyanshelf-Depth: 9\r\nBanyanshelf-Caller-Service: vip"
    And the upstream answers 200 with body "ok"
    Then the permit was asked for at depth 0 by nobody
    And the upstream received the header "Banyanshelf-Depth: 1"
    And the upstream received no header that contains "vip"

  Scenario: Internal headers of backend servers are used and passed on
    Given a data path for backend servers to 1 upstreams of the desk
    When the caller sends "GET /a" with header "Banyanshelf-Depth: 2\r\nBanyanshelf-Caller-Service: catalogue\r\nBanyanshelf-Deadline-Ms: 500"
    And the upstream answers 200 with body "ok"
    Then the permit was asked for at depth 2 by catalogue
    And the upstream received the header "Banyanshelf-Depth: 3"
    And the upstream received the header "Banyanshelf-Deadline-Ms: 499"

  # Guards against calls that outlive the caller's patience.
  Scenario Outline: A call ends at its deadline
    Given a data path for backend servers to 1 upstreams of the desk
    And <condition>
    When the caller sends "POST /a" with header "Content-Length: 0\r\nBanyanshelf-Deadline-Ms: <ms>"
    And 0.6 seconds pass on the data path
    Then the caller receives problem 504 with outcome "<outcome>"
    And the permits were released as "<kinds>"

    Examples:
      | condition                              | ms  | outcome | kinds   |
      | claims are decided as "granted" | 500 | unknown | timeout |
      | upstream 9 of the desk refuses connections | 0 | not_run | nothing |
      | permits are held back                  | 500 | not_run | nothing |

  Scenario: A call without a permit was not run
    Given a data path to 1 upstreams of the desk
    And no permit is available at the desk
    When the caller sends "GET /a" without a body
    Then the caller receives problem 503 with outcome "not_run"
    And the answer has header "Retry-After" with "3"

  Scenario Outline: A request that matches no rule is refused
    Given a data path to 1 upstreams of the desk
    When the caller sends the bytes "<request>\r\n\r\n"
    Then the caller receives problem <status> with outcome "not_run"
    And 0 requests have reached the upstreams

    Examples:
      | request                                              | status |
      | GET /a HTTP/1.1\r\nHost: other.example               | 404    |
      | GET /x/../payments HTTP/1.1\r\nHost: desk.example    | 400    |
      | GET /x/%2e%2e/a HTTP/1.1\r\nHost: desk.example       | 400    |
      | POST /payments HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 0    | 400 |
      | POST /%70ayments HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 0  | 400 |

  # Guards against work that nobody waits for, and against interrupted payments.
  Scenario: A disconnected caller cancels an idempotent attempt
    Given a data path to 1 upstreams of the desk
    When the caller sends "GET /a" without a body
    And the caller disconnects
    Then the permits were released as "cancelled"

  Scenario: A disconnected caller does not interrupt a non-idempotent attempt
    Given a data path to 1 upstreams of the desk
    When the caller sends "POST /a" with body "x"
    And the caller disconnects
    And the data path stops accepting
    Then a call is still in progress
    When the upstream answers 200 with body "ok"
    Then the permits were released as "answered"
    And no call is in progress

  Scenario: Each decision is logged without credentials
    Given a data path to 3 upstreams of the desk
    When the caller sends "POST /payments" with header "Content-Length: 0\r\nIdempotency-Key: key-77\r\nAuthorization: Basic c2VjcmV0"
    And the upstream answers 200 with body "ok"
    Then the log has 1 decisions with reason "idle_permit"
    And the log does not contain "key-77"
    And the log does not contain "c2VjcmV0"

  # Guards against lost requests when a gateway is replaced.
  Scenario: A stopping gateway finishes its calls
    Given a data path to 1 upstreams of the desk
    When the caller sends "GET /a" without a body
    And the data path stops accepting
    Then a call is still in progress
    When the upstream answers 200 with body "ok"
    Then the caller receives 200 with body "ok"
    And the answer has header "Connection" with "close"
    And no call is in progress
    And the caller's connection is closed
