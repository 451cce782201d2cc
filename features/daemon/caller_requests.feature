Feature: Ambiguous and oversized requests are refused and not forwarded

  # Guards against request smuggling: the upstream could parse an ambiguous request in
  # another way than the gateway.
  Scenario Outline: A request with <fault> is refused and not forwarded
    Given a data path with max_body_bytes=100
    When these data path events happen: "bytes <line>\r\nHost: desk.example\r\n<rest>"
    Then the data path shows "answer <status> not_run; caller closed; sent 0"

    Examples:
      | fault                  | line              | rest | status |
      | length and chunks      | POST /a HTTP/1.1  | Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 400 |
      | chunks and length      | POST /a HTTP/1.1  | Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n | 400 |
      | two lengths            | POST /a HTTP/1.1  | Content-Length: 1\r\nContent-Length: 1\r\n\r\nx | 400 |
      | a signed length        | POST /a HTTP/1.1  | Content-Length: +1\r\n\r\nx | 400 |
      | a list of lengths      | POST /a HTTP/1.1  | Content-Length: 1, 1\r\n\r\nx | 400 |
      | space before a colon   | POST /a HTTP/1.1  | Content-Length : 1\r\n\r\nx | 400 |
      | a malformed chunk size | POST /a HTTP/1.1  | Transfer-Encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n | 400 |
      | an unsupported coding  | POST /a HTTP/1.1  | Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n | 400 |
      | two codings            | POST /a HTTP/1.1  | Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 400 |
      | chunks in HTTP/1.0     | POST /a HTTP/1.0  | Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 400 |
      | a folded header line   | GET /a HTTP/1.1   | X: a\r\n folded\r\n\r\n | 400 |
      | a bare line feed       | GET /a HTTP/1.1   | X: a\nY: b\r\n\r\n | 400 |
      | a zero byte            | GET /a HTTP/1.1   | X: a\x00b\r\n\r\n | 400 |
      | two hosts              | GET /a HTTP/1.1   | Host: desk.example\r\n\r\n | 400 |
      | a contradicting target | GET http://other.example/a HTTP/1.1 | \r\n | 400 |
      | another HTTP version   | GET /a HTTP/2.0   | \r\n | 400 |
      | no HTTP version        | GET /a            | \r\n | 400 |
      | a tunnel               | CONNECT a:80 HTTP/1.1 | \r\n | 400 |
      | an upgrade             | GET /a HTTP/1.1   | Connection: upgrade\r\nUpgrade: h2c\r\n\r\n | 400 |
      | an unknown expectation | GET /a HTTP/1.1   | Expect: 200-ok\r\n\r\n | 400 |
      | a long body            | POST /a HTTP/1.1  | Content-Length: 101\r\n\r\n | 413 |
      | long chunks            | POST /a HTTP/1.1  | Transfer-Encoding: chunked\r\n\r\n64\r\n0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789\r\n1\r\na\r\n | 413 |

  # Each row names the failure that it guards against.
  Scenario Outline: No <failure>
    Given a data path with max_connections=1
    When these data path events happen: "<events>"
    Then the data path shows "<checks>"

    Examples:
      | failure                                | events | checks |
      | accepted request without Host          | bytes GET /a HTTP/1.1\r\n\r\n | answer 400 not_run; caller closed; sent 0 |
      | accepted malformed Host                | bytes GET /a HTTP/1.1\r\nHost: desk.example/x\r\n\r\n | answer 400 not_run; caller closed; sent 0 |
      | unbounded number of headers            | bytes GET /a HTTP/1.1\r\nHost: desk.example\r\n >> repeat 101 X: a\r\n | answer 431 not_run; caller closed |
      | unbounded size of headers              | bytes GET /a HTTP/1.1\r\nHost: desk.example\r\n >> repeat 600 X-Name: 0123456789012345678901234567890\r\n | answer 431 not_run; caller closed |
      | unbounded header line                  | bytes GET /a HTTP/1.1\r\nHost: desk.example\r\n >> repeat 20000 a | answer 431 not_run; caller closed |
      | unbounded trailer                      | bytes POST /a HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: >> repeat 20000 a | answer 431 not_run; caller closed |
      | connection held by a slow head         | bytes GET /a HTTP/1.1\r\nHost: >> wait 9 >> expect caller open >> wait 2 | answer 408 not_run; caller closed |
      | receive timeout during a call          | text timeout_ms = 20000 >> bytes GET /1 HTTP/1.1\r\nHost: desk.example\r\n\r\nGET /2 HT >> wait 12 >> 200 one >> wait 2 | bodies one; caller open |
      | connection held by a slow body         | bytes POST /a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 3\r\n\r\nab >> wait 29 >> expect caller open >> wait 2 | answer 408 not_run; caller closed |
      | unbounded number of connections        | bytes GET /1 HTTP/1.1\r\nHost: desk.example\r\n\r\n >> another | answer 503 not_run; caller closed |
      | caller shut out by an unused connection | wait 1 >> another >> bytes GET /1 HTTP/1.1\r\nHost: desk.example\r\n\r\n >> 200 one | bodies one; caller open |
      | caller shut out by half a request      | bytes GET /1 HTTP/1.1\r\nHost: >> wait 1 >> another >> bytes GET /2 HTTP/1.1\r\nHost: desk.example\r\n\r\n >> 200 two | bodies two; caller open |
      | connection closed before its request could arrive | wait 0.9 >> another | answer 503 not_run; caller closed |
      | connection closed in the middle of a request | bytes GET /1 HTTP/1.1\r\nHost: >> wait 0.9 >> another | answer 503 not_run; caller closed |
      | pipelined answers out of order         | bytes GET /1 HTTP/1.1\r\nHost: desk.example\r\n\r\nGET /2 HTTP/1.1\r\nHost: desk.example\r\n\r\n >> expect sent 1 >> 200 one >> 200 two | bodies one two; starts GET /2 |
      | refusal of a long pipeline             | pipeline 500 | sent 499; caller open |
      | answer lost before a malformed request | bytes GET /1 HTTP/1.1\r\nHost: desk.example\r\n\r\nBAD\r\n\r\n >> expect sent 1 >> 200 one | answer 400 not_run; sent 1; caller closed |
      | partly received body forwarded         | bytes POST /a HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n >> expect sent 0 >> bytes 1\r\nc\r\n0\r\nX-T: t\r\n\r\n >> 200 ok | got Content-Length: 3; got abc; got_not X-T |
      | caller left waiting for 100 Continue   | bytes POST /a HTTP/1.1\r\nHost: desk.example\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n >> expect answer 100 >> bytes hi >> 200 ok | answer 200 ok; got_not expect |
