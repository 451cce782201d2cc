Feature: The gateway forwards calls and answers

  # Each row names the failure that it guards against.
  Scenario Outline: No <failure>
    Given a data path with upstream_count=1
    When these data path events happen: "<events>"
    Then the data path shows "<checks>"

    Examples:
      | failure                                 | events | checks |
      | lost request or answer                  | GET /a?b=c x >> 200 done | answer 200 done; starts GET /a?b=c HTTP/1.1; released answered |
      | lost body                               | POST /a hello >> 201 done | answer 201 done; got hello; released answered |
      | leaked hop-by-hop request header        | with Connection: X-Hop, Host\r\nX-Hop: secret\r\nTE: trailers >> GET /a >> 200 ok | got_not secret; got_not trailers; got Host: desk.example |
      | leaked hop-by-hop answer header         | GET /a >> upstream HTTP/1.1 200 OK\r\nConnection: X-B\r\nX-B: s\r\nContent-Length: 0\r\n\r\n | answer 200; header X-B= |
      | spoofed internal headers                | with Banyanshelf-Depth: 9\r\nBanyanshelf-Caller-Service: vip >> GET /a >> 200 ok | permit 0; got Banyanshelf-Depth: 1; got_not vip |
      | unbounded queue                         | no_permit >> GET /a | answer 503 not_run; header Retry-After=3 |
      | call for an unknown host                | bytes GET /a HTTP/1.1\r\nHost: other.example\r\n\r\n | answer 404 not_run; sent 0 |
      | route evasion with dot segments         | GET /x/../payments | answer 400 not_run; sent 0 |
      | route evasion with encoded dots         | GET /x/%2e%2e/payments | answer 400 not_run; sent 0 |
      | payment without an idempotency key      | POST /payments | answer 400 not_run; sent 0 |
      | payment with a repeated key             | with Idempotency-Key: a\r\nIdempotency-Key: b >> POST /payments | answer 400 not_run; sent 0 |
      | work for a disconnected caller          | GET /a >> gone | released cancelled |
      | interrupted non-idempotent call         | POST /a >> gone >> drain >> expect calls 1 False >> 200 ok | released answered; calls 0 True |
      | call lost while a gateway drains        | GET /a >> drain >> expect calls 1 False >> 200 ok | answer 200 ok; header Connection=close; calls 0 True; caller closed |
      | idle connection that delays draining    | GET /a >> 200 ok >> drain | caller closed; calls 0 True |
      | partly received request lost in a drain | bytes GET /a HTTP/1.1\r\n >> drain >> expect calls 0 False >> bytes Host: desk.example\r\n\r\n >> 200 ok | answer 200 ok; calls 0 True; caller closed |
      | call beyond its deadline                | POST /a >> wait 2.1 | answer 504 unknown; released timeout; upstream_closed True |
      | permit wait beyond the deadline         | hold_permits >> POST /a >> wait 2.1 | answer 504 not_run; sent 0 |
      | secret in the log                       | with Idempotency-Key: key-77\r\nAuthorization: Basic c2V0 >> POST /payments >> 200 ok | log_without key-77; log_without c2V0 |
      | decision that is not logged             | GET /a >> 200 ok >> POST /a >> 200 ok | decisions idle_permit=2 |

  # Guards against calls that are sent to an upstream late in a planned stop and are then
  # cut off without an answer.
  Scenario Outline: A gateway that is shutting down <handling>
    Given a data path with upstream_count=2
    When these data path events happen: "<events>"
    Then the data path shows "<checks>"

    Examples:
      | handling                                    | events | checks |
      | refuses a call that may outlast it          | stop_within 1.9 >> POST /a x | answer 503 not_run; sent 0; header Retry-After=1 |
      | refuses a claimed call that may outlast it  | stop_within 1.9 >> with Idempotency-Key: k >> POST /payments x | answer 503 not_run; sent 0; claims 0 |
      | answers a call that ends before             | stop_within 2.1 >> POST /a x >> 200 ok | answer 200 ok |
      | answers a call that is left                 | POST /a x >> wait 0.1 >> shutdown | answer 503 unknown; released cancelled; upstream_closed True |
      | answers a claimed call that is left         | with Idempotency-Key: k >> POST /payments x >> shutdown | answer 503 unknown; recorded unknown |
      | answers a call that waits for a permit      | hold_permits >> POST /a x >> shutdown | answer 503 not_run; sent 0 |
      | answers a request that is left unread       | bytes POST /a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 9\r\n\r\nhalf >> shutdown | answer 503 not_run; sent 0 |
      | cuts a streamed answer that is left         | GET /a >> upstream HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n >> long 300000 >> shutdown | caller cut |

  # Guards against lost or falsified internal headers between services.
  Scenario Outline: No <failure> on the listener for backend servers
    Given a data path with trusted=True
    When these data path events happen: "<events>"
    Then the data path shows "<checks>"

    Examples:
      | failure                   | events | checks |
      | lost depth                | with Banyanshelf-Depth: 2\r\nBanyanshelf-Caller-Service: catalogue >> GET /a >> 200 ok | permit 2 catalogue; got Banyanshelf-Depth: 3; got Banyanshelf-Caller-Service: desk |
      | lost deadline             | with Banyanshelf-Deadline-Ms: 500 >> GET /a >> expect released >> wait 0.6 | answer 504 unknown; released timeout |
      | extended deadline         | with Banyanshelf-Deadline-Ms: 9000 >> GET /a >> 200 ok | got Banyanshelf-Deadline-Ms: 1999 |
      | attempt without time left | with Banyanshelf-Deadline-Ms: 0 >> GET /a | answer 504 not_run; sent 0 |
      | accepted malformed depth  | with Banyanshelf-Depth: x >> GET /a | answer 400 not_run; sent 0 |
