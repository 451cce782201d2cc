Feature: A keyed call runs at most once

  # Guards against a payment that runs twice or whose outcome is reported wrongly.
  Scenario: A granted call is sent once and recorded before the answer
    Given a data path to 2 upstreams of the desk
    When the record of the claim is held back
    And the caller sends "POST /payments" with header "Idempotency-Key: k\r\nContent-Length: 0"
    And the upstream answers 201 with body "paid"
    Then the caller receives nothing
    And the claim is recorded as "completed"
    And the recorded answer has body "paid"
    When the record of the claim arrives
    Then the caller receives 201 with body "paid"
    And 1 requests have reached the upstreams

  Scenario: A record that does not arrive delays the answer until the deadline only
    Given a data path to 2 upstreams of the desk
    When the record of the claim is held back
    And the caller sends "POST /payments" with header "Idempotency-Key: k\r\nContent-Length: 0"
    And the upstream answers 201 with body "paid"
    And 1.9 seconds pass on the data path
    Then the caller receives nothing
    When 0.2 seconds pass on the data path
    Then the caller receives 201 with body "paid"

  Scenario Outline: A claim that is not granted sends nothing
    Given a data path to 2 upstreams of the desk
    And claims are decided as "<decision>"
    When the caller sends "POST /payments" with header "Idempotency-Key: k\r\nContent-Length: 0"
    Then the caller receives problem <status> with outcome "<outcome>"
    And the answer has header "Retry-After" with "1"
    And 0 requests have reached the upstreams
    And nothing is recorded for the claim

    Examples:
      | decision    | status | outcome |
      | running     | 409    | unknown |
      | unavailable | 503    | not_run |
      | not_owner   | 503    | not_run |

  Scenario Outline: A claim with a final decision is answered without Retry-After
    Given a data path to 2 upstreams of the desk
    And claims are decided as "<decision>"
    When the caller sends "POST /payments" with header "Idempotency-Key: k\r\nContent-Length: 0"
    Then the caller receives problem <status> with outcome "<outcome>"
    And the answer has no header "Retry-After"
    And 0 requests have reached the upstreams

    Examples:
      | decision | status | outcome |
      | conflict | 422    | not_run |
      | unknown  | 502    | unknown |

  Scenario: A completed claim replays the first answer
    Given a data path to 2 upstreams of the desk
    And the claim was completed with status 201 and body "paid"
    When the caller sends "POST /payments" with header "Idempotency-Key: k\r\nContent-Length: 0"
    Then the caller receives 201 with body "paid"
    And the answer has header "Idempotency-Replayed" with "true"
    And the answer has header "Location" with "/p/1"
    And 0 requests have reached the upstreams

  Scenario: A completed claim without its answer says that the call ran
    Given a data path to 2 upstreams of the desk
    And the claim was completed with an answer too large to keep
    When the caller sends "POST /payments" with header "Idempotency-Key: k\r\nContent-Length: 0"
    Then the caller receives problem 409 with outcome "none"

  Scenario Outline: A failed call is recorded as what is known about it
    Given a data path to 1 upstreams of the desk
    And <condition>
    When the caller sends "POST /payments" with header "Idempotency-Key: k\r\nContent-Length: 0"
    And <event>
    Then the caller receives problem <status> with outcome "<outcome>"
    And the claim is recorded as "<recorded>"

    Examples:
      | condition                              | event                            | status | outcome | recorded |
      | claims are decided as "granted"        | the upstream cuts the connection | 502    | unknown | unknown  |
      | claims are decided as "granted"        | 2.1 seconds pass on the data path | 504   | unknown | unknown  |
      | claims are decided as "granted"        | the upstream sends the bytes "HTTP/1.1 503 No\r\nUpstream-Outcome: not_run\r\nContent-Length: 0\r\n\r\n" | 503 | not_run | released |
      | upstream 1 of the desk refuses connections | 0.1 seconds pass on the data path | 503 | not_run | released |
      | no permit is available at the desk     | 0.1 seconds pass on the data path | 503   | not_run | released |

  Scenario: A disconnected caller does not interrupt a claimed call
    Given a data path to 1 upstreams of the desk
    When the caller sends "POST /payments" with header "Idempotency-Key: k\r\nContent-Length: 0"
    And the caller disconnects
    And the data path stops accepting
    Then a call is still in progress
    When the upstream answers 201 with body "paid"
    Then the claim is recorded as "completed"
    And no call is in progress

  Scenario: A caller that disconnects before the call is sent releases the claim
    Given a data path to 1 upstreams of the desk
    And permits are held back
    When the caller sends "POST /payments" with header "Idempotency-Key: k\r\nContent-Length: 0"
    And the caller disconnects
    Then the claim is recorded as "released"
    And 0 requests have reached the upstreams

  # Guards against a duplicate that is shown a part of a long answer.
  Scenario: A long answer is recorded without its body before its end is sent
    Given a data path to 1 upstreams of the desk
    When the record of the claim is held back
    And the caller sends "POST /payments" with header "Idempotency-Key: k\r\nContent-Length: 0"
    And the upstream sends the bytes "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"
    And the same upstream sends 200000 bytes of body
    And the same upstream sends 100000 bytes of body
    Then the recorded answer has no body
    And 200000 bytes of a body of 300000 have been sent to the caller
    When the record of the claim arrives
    Then 300000 bytes of a body of 300000 have been sent to the caller

  Scenario Outline: Digests tell keys and requests apart
    Given a data path to 1 upstreams of the desk
    And claims are decided as "conflict"
    When the caller sends "POST /payments" with header "Idempotency-Key: k\r\nAuthorization: a\r\nContent-Length: 0"
    And the caller sends "<request>" with header "<headers>\r\nContent-Length: 0"
    Then the last 2 claims have <which> digests

    Examples:
      | request             | headers                                | which     |
      | POST /payments      | Idempotency-Key: k\r\nAuthorization: a | equal     |
      | POST /payments      | Idempotency-Key: k\r\nAuthorization: b | different |
      | POST /payments      | Idempotency-Key: l\r\nAuthorization: a | different |
      | POST /payments?x=1  | Idempotency-Key: k\r\nAuthorization: a | different |
      | PATCH /payments     | Idempotency-Key: k\r\nAuthorization: a | different |
