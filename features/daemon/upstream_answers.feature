Feature: The caller can tell a truncated answer from a complete one

  # Guards against bytes of one answer that are delivered as part of the next one.
  Scenario Outline: A connection with <surplus> is not reused
    Given a data path with upstream_count=1
    When these data path events happen: "GET /a >> upstream HTTP/1.<minor> 200 OK\r\nContent-Length: 2\r\n<rest>"
    Then the data path shows "answer 200 ok; upstream_closed True"

    Examples:
      | surplus               | minor | rest                          |
      | a second answer       | 1     | \r\nokHTTP/1.1 200            |
      | surplus bytes         | 1     | \r\nok!                       |
      | a request to close it | 1     | Connection: close\r\n\r\nok   |
      | HTTP/1.0              | 0     | \r\nok                        |

  # Guards against truncated answers that are taken for complete ones.
  Scenario Outline: An answer with <fault> is refused
    Given a data path with upstream_count=1
    When these data path events happen: "POST /a >> upstream HTTP/1.1 <rest>"
    Then the data path shows "answer 502 unknown; upstream_closed True"

    Examples:
      | fault                 | rest                                                                       |
      | no length             | 200 OK\r\n\r\nuntil the end                                                |
      | an unsupported coding | 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc                               |
      | a repeated coding     | 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n |
      | two lengths           | 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab                 |
      | length and chunks     | 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n |
      | another protocol      | 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n                 |
      | a folded header line  | 200 OK\r\nX: a\r\n folded\r\nContent-Length: 0\r\n\r\n                     |

  # Each row names the failure that it guards against.
  Scenario Outline: No <failure>
    Given a data path with upstream_count=1, members=<members>
    When these data path events happen: "<events>"
    Then the data path shows "<checks>"

    Examples:
      | failure                                      | members | events | checks |
      | new connection for each call                 | 1   | GET /a >> 200 one >> GET /b >> 200 two | bodies one two; connections 2 |
      | connection beyond the gateway's share        | 200 | GET /a >> another >> GET /b >> expect connections 1 >> 200 one >> 200 two | answer 200 two; connections 1 |
      | unsolicited bytes delivered                  | 1   | GET /a >> 200 ok >> more HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate | bodies ok; upstream_closed True |
      | undetected crash                             | 200 | POST /a >> refuse 1 >> cut | answer 502 unknown; marks 1 |
      | interim answer taken for the final one       | 1   | GET /a >> upstream HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok | answer 200 ok; header X= |
      | part of a buffered answer                    | 1   | POST /a >> upstream HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf >> expect nothing >> cut | answer 502 unknown |
      | regular end of a cut answer                  | 1   | GET /a >> upstream HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n >> long 300000 >> cut | caller cut |
      | last chunk of a cut answer                   | 1   | GET /a >> upstream HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n61a80\r\n >> long 300000 >> cut | caller cut |
      | streamed answer beyond its deadline          | 1   | GET /a >> upstream HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n >> long 300000 >> wait 2.1 | caller cut; released timeout |
      | unbounded buffer for a slow caller           | 1   | GET /a >> upstream HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n >> long 300000 >> pause >> expect upstream paused >> read >> expect upstream producing >> long 100000 | streamed 400000 of 400000 |
      | unbounded buffer for a caller paused early   | 1   | GET /a >> pause >> upstream HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n | upstream paused |
      | connection held by a caller that never reads | 1   | GET /a >> 200 ok >> pause >> wait 31 | caller cut |
      | wait for a body after HEAD                   | 1   | HEAD /a >> upstream HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n | answer 200; upstream_closed True |
      | failed probe despite a 2xx answer            | 1   | probe >> 200 ok | probe True |
      | successful probe with an error status        | 1   | probe >> 503 no | probe False |
      | successful probe with a cut answer           | 1   | probe >> cut | probe False |
      | successful probe after its timeout           | 1   | probe >> wait 1.1 | probe False |
