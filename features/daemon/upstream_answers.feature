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
      | status 000            | 000 Any\r\nContent-Length: 2\r\n\r\nok                                     |
      | status 000 and chunks | 000 Any\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n          |
      | status 000 at first   | 000 Any\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok |
      | a status below 100    | 099 Any\r\nContent-Length: 2\r\n\r\nok                                     |
      | a status above 599    | 600 Any\r\nContent-Length: 2\r\n\r\nok                                     |
      | status 999            | 999 Any\r\nContent-Length: 2\r\n\r\nok                                     |
      | a status of 4 digits  | 2000 Any\r\nContent-Length: 2\r\n\r\nok                                    |
      | no status             | Any\r\nContent-Length: 2\r\n\r\nok                                         |
      | a body of its interim answer | 103 Any\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok |
      | chunks of its interim answer | 102 Any\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok |
      | a folded header line  | 200 OK\r\nX: a\r\n folded\r\nContent-Length: 0\r\n\r\n                     |

  # Guards against an empty 200 in place of an answer that stopped in its head.
  Scenario Outline: An upstream that closes within the head of <answer> gives <result>
    When an upstream answers <method> with each part of the head "<head>" and closes
    Then each caller is answered "<result>"

    Examples:
      | answer                   | method | result      | head                                                  |
      | a length                 | POST   | 502 unknown | HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\n |
      | no body                  | POST   | 502 unknown | HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: b\r\n\r\n |
      | chunks                   | POST   | 502 unknown | HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n |
      | status 204               | POST   | 502 unknown | HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n            |
      | an interim answer        | POST   | 502 unknown | HTTP/1.1 103 Early\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n |
      | HTTP/1.0                 | POST   | 502 unknown | HTTP/1.0 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\n |
      | a length, to a safe call | GET    | 503 unknown | HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\n |

  # Guards against a late second copy of an answer that the next caller gets. The copy
  # arrives after the next request has been written, so that it is not unsolicited.
  Scenario Outline: <copy> does not reach the next caller
    Given a data path with upstream_count=1
    When these data path events happen: "GET /a >> 200 one >> <events>"
    Then the data path shows "<checks>"

    Examples:
      | copy                                       | events | checks |
      | A copy 1 ms late                           | GET /b >> late HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none >> 200 two | bodies one two |
      | A copy that names its request              | wait 0.1 >> GET /b >> named_copy >> named two | bodies one two; upstream_closed True |
      | Half a copy                                | GET /b >> late HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\no >> 200 two | bodies one two |
      | A copy after one on an idle connection     | wait 0.1 >> more HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none >> wait 0.1 >> GET /b >> 200 two >> wait 0.1 >> GET /c >> late HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo >> 200 three | bodies one two three |
      | A copy after one with the answer           | GET /b >> upstream HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwoHTTP/1.1 200 OK >> wait 0.1 >> GET /c >> 200 new >> wait 0.1 >> GET /d >> late HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew >> 200 last | bodies one two new last |

  # Guards against "not run" for a request that its upstream is running.
  Scenario Outline: A copy of <refusal> is not taken for that of a later request
    Given a data path with upstream_count=1
    When these data path events happen: "<request> >> <answer> >> wait 0.1 >> POST /b y >> <copy> >> <last>"
    Then the data path shows "answer 200 two; reused <reused>"

    Examples:
      | refusal                           | request   | answer        | copy | last | reused |
      | a refusal                         | POST /a x | not_run       | late HTTP/1.1 503 No\r\nUpstream-Outcome: not_run\r\nContent-Length: 0\r\n\r\n | 200 two | False |
      | a probe's refusal                 | probe     | not_run       | late HTTP/1.1 503 No\r\nUpstream-Outcome: not_run\r\nContent-Length: 0\r\n\r\n | 200 two | False |
      | a refusal that names its request  | POST /a x | named_not_run | named_not_run_copy | named two | True |

  # Guards against a handshake for each call after one that was long ago.
  Scenario: Connections of an upstream that sent a copy are reused a minute later
    Given a data path with upstream_count=1
    When these data path events happen: "GET /a >> 200 one >> wait 0.1 >> more HTTP/1.1 >> wait 61 >> GET /b >> 200 two >> wait 0.1 >> GET /c >> 200 three"
    Then the data path shows "bodies one two three; reused True"

  # Guards against memory that grows until the caller's time is up: such bytes may come
  # without end, until the connection is closed.
  Scenario Outline: Endless <bytes> are cut off
    Given a data path with upstream_count=1
    When these data path events happen: "POST /a x >> upstream <start> >> endless <piece>"
    Then the data path shows "answer 502 unknown; upstream_closed True; received_most 200000"

    Examples:
      | bytes                    | start                                                              | piece             |
      | bytes that are no head   | no answer                                                          | no answer at all  |
      | header lines             | HTTP/1.1 200 OK\r\n                                                | X-A: b\r\n         |
      | parts of one header line | HTTP/1.1 200 OK\r\nX-A:                                            | aaaaaaaa          |
      | interim answers          | HTTP/1.1 100 Continue\r\n\r\n                                      | HTTP/1.1 100 Continue\r\n\r\n |
      | trailer lines            | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n | X-A: b\r\n         |
      | parts of a chunk's size  | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n5;a  | aaaaaaaa          |

  # Guards against the same in a body: what a caller has not read is not read on, and the
  # call's time limit ends it.
  Scenario: An endless body ends with the time limit of its call
    Given a data path with upstream_count=1
    When these data path events happen: "GET /a >> upstream HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n >> chunks 40 >> pause >> expect upstream paused >> wait 2.1"
    Then the data path shows "caller cut; upstream_closed True; released timeout"

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
      | failed probe on a silent kept connection     | 1   | GET /a >> 200 ok >> cut_spare >> wait 0.1 >> probe >> silence >> wait 0.35 >> 200 ok | probe True |
      | wait of 1 s for a host that is down          | 1   | GET /a >> 200 ok >> cut_spare >> wait 0.1 >> probe >> silence >> refuse 1 >> wait 0.35 | probe False |
      | failed probe despite a 2xx answer            | 1   | probe >> 200 ok | probe True |
      | retry after status 000 lost                  | 1   | POST /a >> 200 ok >> GET /a >> upstream HTTP/1.1 000 Any\r\nContent-Length: 2\r\n\r\nno | answer 503 unknown |
      | successful probe with status 000             | 1   | probe >> upstream HTTP/1.1 000 Any\r\nContent-Length: 0\r\n\r\n | probe False |
      | successful probe after status 000            | 1   | probe >> upstream HTTP/1.1 000 Any\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n | probe False |
      | successful probe with an interim answer only | 1   | probe >> upstream HTTP/1.1 103 Any\r\n\r\n >> wait 1.1 | probe False |
      | interim answer taken for the end of a call   | 1   | POST /a >> upstream HTTP/1.1 103 Any\r\n\r\n >> cut | answer 502 unknown |
      | answer after an interim one without a body   | 1   | GET /a >> upstream HTTP/1.1 103 Any\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok | answer 200 ok |
      | successful probe with an error status        | 1   | probe >> 503 no | probe False |
      | successful probe with a cut answer           | 1   | probe >> cut | probe False |
      | successful probe after its timeout           | 1   | probe >> wait 1.1 | probe False |
