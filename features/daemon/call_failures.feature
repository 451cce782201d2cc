Feature: Attempts are retried only if that is safe, and calls with a key run once

  # Each row names the failure that it guards against.
  Scenario Outline: Retries: no <failure>
    Given a data path with upstream_count=<upstreams>
    When these data path events happen: "<events>"
    Then the data path shows "<checks>"

    Examples:
      | failure                                          | upstreams | events | checks |
      | idempotent call lost to a refused connection     | 2 | refuse 1 >> GET /a >> 200 ok | answer 200 ok; sent 1; released refused answered |
      | non-idempotent call lost to a refused connection | 2 | refuse 1 >> POST /a x >> 200 ok | answer 200 ok; sent 1; released refused answered |
      | idempotent call lost to a cut connection         | 2 | GET /a >> cut >> 200 ok | answer 200 ok; sent 2; released cut answered |
      | call of an idempotent route lost to a cut        | 2 | POST /search x >> cut >> 200 ok | answer 200 ok; sent 2 |
      | second run after a cut connection                | 3 | POST /a x >> cut | answer 502 unknown; sent 1 |
      | second run after a malformed answer              | 3 | POST /a x >> upstream HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n | answer 502 unknown; sent 1; marks 0 |
      | second run after a cut reused connection         | 3 | POST /a x >> 200 ok >> POST /a y >> cut | answer 502 unknown; sent 2 |
      | second run after an error status                 | 3 | POST /a x >> 500 bad | answer 500 bad; sent 1 |
      | call lost although it was not run                | 2 | POST /a x >> not_run >> 200 ok | answer 200 ok; released shed answered |
      | not_run outcome hidden from the caller           | 2 | POST /a x >> not_run >> not_run Retry-After: 7\r\n | answer 503 not_run; header Retry-After=7; released shed shed |
      | not_run outcome that hides an earlier cut        | 2 | GET /a >> cut >> not_run | answer 503 unknown; sent 2 |
      | retries multiplied at each hop                   | 2 | GET /a >> upstream HTTP/1.1 502 No\r\nProxy-Status: banyanshelf; error=x\r\nContent-Length: 4\r\n\r\ndeep | answer 502 deep; sent 1 |
      | error answer lost without a retry permit         | 1 | GET /a >> 500 bad | answer 500 bad; sent 1 |
      | slow idempotent call without a hedge             | 3 | warm >> GET /a >> wait 0.02 >> expect sent 2 >> 200 ok | answer 200 ok; decisions hedge=1 |
      | hedge of a non-idempotent call                   | 3 | warm >> POST /a x >> wait 0.02 | sent 1 |
      | reuse of a cancelled attempt's connection        | 3 | warm >> GET /a >> wait 0.02 >> expect open 4 >> 200 ok | answer 200 ok; open 3 |
      | old retry limit after a new text                 | 2 | GET /a >> 200 ok >> text max_attempts = 1 >> GET /a >> cut | answer 502 unknown; sent 2 |
      | third run of a request suspected of crashes      | 3 | warm >> GET /a >> cut >> cut | answer 502 unknown; sent 2 |
      | crash loop                                       | 3 | POST /a bad >> crash >> expect answer 502 unknown >> expect marks 1 >> mark >> POST /a bad >> expect answer 503 not_run >> POST /a good >> 200 ok | answer 200 ok |
      | run of a call whose crashes were noticed while it waited | 3 | hold_permits >> GET /a >> others_mark GET >> grant | answer 503 not_run; sent 0; released cancelled |
      | hedge of a call whose crashes were noticed meanwhile | 3 | warm >> GET /a >> hold_permits >> wait 0.02 >> others_mark GET >> grant >> expect sent 1 >> 200 ok | answer 200 ok; decisions hedge=0 |
      | call left without an end by a refused hedge      | 3 | warm >> GET /a >> hold_permits >> wait 0.02 >> others_mark GET >> cut >> grant | answer 503 unknown; sent 1 |
      | third upstream for two attempts, hedge first     | 3 | text max_attempts = 2 >> warm >> GET /a >> hold_permits >> wait 0.02 >> cut >> grant >> expect sent 2 >> 200 ok | answer 200 ok; decisions hedge=1; released_last 3 cut cancelled answered |
      | third upstream for two attempts, retry first     | 3 | text max_attempts = 2 >> warm >> GET /a >> hold_permits >> wait 0.02 >> cut >> grant_one -1 >> expect sent 2 >> grant >> expect sent 2 >> 200 ok | answer 200 ok; decisions hedge=0; released_last 3 cut cancelled answered |
      | call whose retry waits when its hedge fails      | 3 | warm >> GET /a >> hold_permits >> wait 0.02 >> 500 bad >> grant_one 0 >> 500 bad >> expect nothing >> grant >> 200 ok | answer 200 ok; sent 3 |
      | second run at one upstream                       | 2 | warm >> GET /a >> hold_permits >> wait 0.02 >> 500 bad >> grant >> expect sent 2 >> 200 ok | answer 200 ok; sent 2 |
      | run at an upstream in a pause                    | 2 | POST /a x >> not_run Retry-After: 0.25\r\n >> 200 ok >> POST /a y >> expect sent 3 >> 200 ok >> wait 0.3 >> POST /a z >> 200 ok | sent 4; released shed answered cancelled answered answered |
      | wait of a caller while all upstreams are in a pause | 1 | POST /a x >> not_run Retry-After: 3\r\n >> POST /a y | answer 503 not_run; sent 1 |
      | probe of an upstream in a pause                  | 1 | POST /a x >> not_run Retry-After: 3\r\n >> probe_paused | sent 1 |
      | calls to a draining upstream                     | 1 | GET /a >> upstream HTTP/1.1 200 OK\r\nUpstream-State: draining\r\nUpstream-Load: in_flight=2, slots=3\r\nContent-Length: 0\r\n\r\n | leaving desk-1; load [('desk-1', 2, 3)]; header Upstream-Load= |
      | calls to an upstream that refuses connections    | 1 | refuse 1 >> GET /a >> GET /a | leaving desk-1 |

  # Guards against a second answer, or a second run, behind the first byte of a long one.
  Scenario Outline: A long answer that has begun is not ended by <event>
    Given a data path with upstream_count=3
    When these data path events happen: "warm >> <events>"
    And these data path events happen: "end_long"
    Then the data path shows "streamed 400000 of 400000; sent <sent>; calls_left 0"

    Examples:
      | event                              | sent | events |
      | a notice that it is late           | 1    | GET /a >> begin_long 400000 >> expected_late |
      | the time of the hedged attempt     | 1    | GET /a >> begin_long 400000 >> wait 0.5 |
      | a permit for the hedged attempt    | 1    | GET /a >> hold_permits >> wait 0.02 >> begin_long 400000 >> grant |
      | the answer of a hedged attempt     | 2    | GET /a >> wait 0.02 >> begin_long 400000 |
      | crashes of the same request        | 1    | GET /a >> begin_long 400000 >> others_mark GET >> wait 0.5 |
      | a drain                            | 1    | GET /a >> begin_long 400000 >> drain >> wait 0.5 |
      | a permit after a claim's timer     | 1    | with Idempotency-Key: k >> POST /payments >> begin_long 400000 >> expected_late >> wait 0.5 |

  # Guards against errors that are passed on unjudged because they are long.
  Scenario Outline: A long answer <kind> is judged before its first byte
    Given a data path with upstream_count=<upstreams>
    When these data path events happen: "<events>"
    Then the data path shows "<checks>"

    Examples:
      | kind                            | upstreams | events | checks |
      | with an error                   | 2 | GET /a >> upstream HTTP/1.1 500 No\r\nContent-Length: 300000\r\n\r\n >> 200 ok | answer 200 ok; sent 2; released error answered |
      | with an error and no length     | 2 | GET /a >> upstream HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n >> chunks 40 >> 200 ok | answer 200 ok; released error answered |
      | with an error of an unsafe call | 2 | POST /a x >> upstream HTTP/1.1 500 No\r\nContent-Length: 300000\r\n\r\n >> long 300000 | streamed 300000 of 300000; sent 1; released error |
      | with an error and no upstream left | 1 | GET /a >> upstream HTTP/1.1 500 No\r\nContent-Length: 300000\r\n\r\n | answer 503 unknown; sent 1 |
      | that says "not run"             | 2 | POST /a x >> upstream HTTP/1.1 503 No\r\nUpstream-Outcome: not_run\r\nContent-Length: 300000\r\n\r\n >> 200 ok | answer 200 ok; released shed answered |
      | that says "not run" at last     | 1 | POST /a x >> upstream HTTP/1.1 503 No\r\nUpstream-Outcome: not_run\r\nContent-Length: 300000\r\n\r\n | answer 503 not_run; released shed |

  # Guards against an answer that makes all gateways forget crashes without a run.
  Scenario Outline: Crash marks after <answer>
    Given a data path with upstream_count=3
    When these data path events happen: "POST /a bad >> crash >> expect marks 1 >> POST /a bad >> <events>"
    Then the data path shows "marks <messages>"

    Examples:
      | answer                     | events | messages |
      | a refusal                  | not_run | 1 |
      | an error                   | 500 bad | 1 |
      | an error of a proxy        | 504 late | 1 |
      | too many requests          | 429 busy | 1 |
      | a request at another host  | 421 another | 1 |
      | an answer                  | 200 ok | 2 |
      | an answer of an error page | 404 none | 2 |
      | a streamed answer          | upstream HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n >> long 200000 >> long 100000 | 2 |
      | a cut streamed answer      | upstream HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n >> long 200000 >> cut | 1 |

  # Guards against crashes that are not noticed because the upstream went silent, and
  # against blame for requests whose upstreams are merely slow.
  Scenario Outline: A request that was not answered is marked <times> after <events>
    Given a data path with upstream_count=2
    When these data path events happen: "<events>"
    Then the data path shows "marks <times>"

    Examples:
      | times | events |
      | 1 | POST /a bad >> silence >> wait 2.1 >> probe >> wait 1.1 |
      | 1 | POST /a bad >> silence >> wait 2.1 >> refuse 1 >> GET /b |
      | 1 | GET /a >> silence >> wait 0.5 >> gone >> another >> probe >> wait 1.1 |
      | 0 | POST /a bad >> silence >> wait 2.1 >> probe >> 200 ok |
      | 0 | POST /a bad >> silence >> wait 2.1 >> probe >> upstream HTTP/1.1 000 Any\r\n\r\n |
      | 0 | POST /a bad >> silence >> wait 2.1 >> probe >> 503 ill |
      | 0 | POST /a bad >> silence >> wait 2.1 >> probe >> 200 ok >> probe >> wait 1.1 |
      | 0 | warm >> GET /a >> silence >> wait 0.02 >> 200 ok >> probe >> wait 1.1 |
      | 0 | POST /a bad >> silence >> wait 1.95 >> heard >> wait 0.1 >> probe >> wait 1.1 |
      | 0 | POST /a bad >> silence >> wait 2.1 >> wait 0.1 >> heard >> probe >> wait 1.1 |
      | 0 | hold_permits >> GET /a >> wait 2.1 >> probe >> wait 1.1 |
      | 0 | POST /a bad >> upstream HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n >> wait 2.1 >> probe >> wait 1.1 |

  # Guards against a member that never learns of what happened while it had no link.
  Scenario Outline: A member whose link comes up is told of <what>
    Given a data path with upstream_count=3
    When these data path events happen: "POST /a bad >> crash >> <events>"
    Then the data path shows "told other <message>"

    Examples:
      | what     | events                    | message    |
      | a crash  | link                           | CrashMark  |
      | a clear  | POST /a bad >> 200 ok >> link  | CrashClear |

  # Each row names the failure that it guards against.
  Scenario Outline: Claims: no <failure>
    Given a data path with upstream_count=1
    When these data path events happen: "with Idempotency-Key: k >> <events>"
    Then the data path shows "<checks>"

    Examples:
      | failure                                      | events | checks |
      | answer before its outcome is recorded        | hold_record >> POST /payments >> 201 paid >> expect nothing >> expect recorded completed >> record | answer 201 paid; sent 1; stored b'paid' |
      | answer withheld by a slow record             | hold_record >> POST /payments >> 201 paid >> wait 1.9 >> expect nothing >> wait 0.2 | answer 201 paid |
      | concurrent run with the same key             | claim running >> POST /payments | answer 409 unknown; header Retry-After=1; sent 0; recorded |
      | run without a granted claim                  | claim unavailable >> POST /payments | answer 503 not_run; header Retry-After=1; sent 0; recorded |
      | run without the shard owner                  | claim not_owner >> POST /payments | answer 503 not_run; header Retry-After=1; sent 0; recorded |
      | key reused for another request               | claim conflict >> POST /payments | answer 422 not_run; header Retry-After=; sent 0 |
      | run after an unknown outcome                 | claim unknown >> POST /payments | answer 502 unknown; header Retry-After=; sent 0 |
      | second run after a completed one             | completed paid >> POST /payments | answer 201 paid; header Idempotency-Replayed=true; header Location=/p; sent 0 |
      | invented answer in place of one not kept     | completed >> POST /payments | answer 409 no outcome; sent 0 |
      | unrecorded outcome of a cut call             | POST /payments >> cut | answer 502 unknown; recorded unknown |
      | unrecorded outcome of a timeout              | POST /payments >> wait 2.1 | answer 504 unknown; recorded unknown |
      | key still claimed after a not_run outcome    | POST /payments >> not_run | answer 503 not_run; recorded released |
      | key still claimed after a refused connection | refuse 1 >> POST /payments | answer 503 not_run; recorded released |
      | key still claimed without a permit           | no_permit >> POST /payments | answer 503 not_run; recorded released |
      | key still claimed after a disconnect         | hold_permits >> POST /payments >> gone | recorded released; sent 0 |
      | interrupted payment                          | POST /payments >> gone >> drain >> expect calls 1 False >> 201 paid | recorded completed; calls 0 True |
      | end of a streamed answer before its record   | hold_record >> POST /payments >> upstream HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n >> long 200000 >> long 100000 >> expect stored b'' >> expect streamed 200000 of 300000 >> record | streamed 300000 of 300000 |
      | drained call before the record of a streamed answer | hold_record >> POST /payments >> upstream HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n >> long 200000 >> gone >> drain >> long 100000 >> expect calls 1 False >> record | recorded completed; calls 0 True |
      | completed record of a cut streamed answer    | POST /payments >> upstream HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n >> long 200000 >> cut | caller cut; recorded unknown |
      | separate claims of equal calls               | claim conflict >> POST /payments >> POST /payments | claims 1 |
      | shared claim of different credentials        | claim conflict >> POST /payments >> with Idempotency-Key: k\r\nAuthorization: b >> POST /payments | claims 2 |
      | shared claim of different keys               | claim conflict >> POST /payments >> with Idempotency-Key: l >> POST /payments | claims 2 |
      | shared claim of different targets            | claim conflict >> POST /payments >> POST /payments?x | claims 2 |
      | shared claim of different methods            | claim conflict >> POST /payments >> PATCH /payments | claims 2 |
