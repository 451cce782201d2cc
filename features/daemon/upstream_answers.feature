Feature: An answer is whole or the caller can tell

  # Guards against connections that are opened for each call.
  Scenario: A connection is reused after a whole answer
    Given a data path to 1 upstreams of the desk
    When the caller sends "GET /a" without a body
    And the upstream answers 200 with body "one"
    And the caller sends "GET /b" without a body
    And the upstream answers 200 with body "two"
    Then the caller receives the bodies "one two" in order
    And 2 connections to the upstreams have been opened

  # Guards against bytes of one answer that are delivered with the next one.
  Scenario Outline: A connection with surplus bytes is not reused
    Given a data path to 1 upstreams of the desk
    When the caller sends "GET /a" without a body
    And the upstream sends the bytes "<answer>"
    Then the caller receives 200 with body "ok"
    And the connection to the upstream is closed

    Examples:
      | answer                                                             |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200         |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok!                    |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok |
      | HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok                     |

  Scenario: Bytes that nobody asked for close the connection
    Given a data path to 1 upstreams of the desk
    When the caller sends "GET /a" without a body
    And the upstream answers 200 with body "ok"
    And the same upstream sends the bytes "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"
    Then the caller receives 200 with body "ok"
    And the connection to the upstream is closed

  Scenario: An interim answer is not taken for the final one
    Given a data path to 1 upstreams of the desk
    When the caller sends "GET /a" without a body
    And the upstream sends the bytes "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    Then the caller receives 200 with body "ok"
    And the answer has no header "Link"

  # Guards against truncated answers that pass for whole ones.
  Scenario Outline: An answer without a certain end is refused
    Given a data path to 1 upstreams of the desk
    When the caller sends "POST /a" with body "x"
    And the upstream sends the bytes "<answer>"
    Then the caller receives problem 502 with outcome "unknown"

    Examples:
      | answer                                                                              |
      | HTTP/1.1 200 OK\r\n\r\nuntil the end                                                |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc                               |
      | HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab                 |
      | HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n |
      | HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n                 |
      | HTTP/1.1 200 OK\r\nX: a\r\n folded\r\nContent-Length: 0\r\n\r\n                     |

  Scenario: A short answer that is cut is not delivered
    Given a data path to 1 upstreams of the desk
    When the caller sends "POST /a" with body "x"
    And the upstream sends the bytes "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"
    Then the caller receives nothing
    When the same upstream cuts the connection
    Then the caller receives problem 502 with outcome "unknown"

  Scenario Outline: A long answer that is cut cuts off the caller
    Given a data path to 1 upstreams of the desk
    When the caller sends "GET /a" without a body
    And the upstream sends the bytes "HTTP/1.1 200 OK\r\n<framing>\r\n\r\n"
    And the same upstream sends 300000 bytes of body
    And the same upstream cuts the connection
    Then the caller's connection is cut

    Examples:
      | framing                                |
      | Content-Length: 400000                 |
      | Transfer-Encoding: chunked\r\n\r\n61a80 |

  Scenario: A slow caller slows down a long answer
    Given a data path to 1 upstreams of the desk
    When the caller sends "GET /a" without a body
    And the upstream sends the bytes "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n"
    And the same upstream sends 300000 bytes of body
    And the caller reads slowly
    Then the upstream's connection is paused
    When the caller reads again
    Then the upstream's connection is read again
    When the same upstream sends 100000 bytes of body
    Then 400000 bytes of a body of 400000 have been sent to the caller

  Scenario: An answer to HEAD has no body
    Given a data path to 1 upstreams of the desk
    When the caller sends "HEAD /a" without a body
    And the upstream sends the bytes "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
    Then the caller receives 200 with body ""
    And the connection to the upstream is closed

  Scenario: Connections are limited to the member's share
    Given a data path of 200 members to 1 upstreams of the desk
    When the caller sends "GET /a" without a body
    And another caller connects
    And the caller sends "GET /b" without a body
    Then 1 connections to the upstreams have been opened
    When the upstream answers 200 with body "one"
    And the upstream answers 200 with body "two"
    Then the caller receives 200 with body "two"

  Scenario Outline: A probe reports whether the upstream answers
    Given a data path to 1 upstreams of the desk
    When upstream 1 is probed
    And <event>
    Then the probe result is <result>

    Examples:
      | event                                       | result |
      | the upstream answers 200 with body "ok"     | True   |
      | the upstream answers 503 with body "no"     | False  |
      | the upstream cuts the connection            | False  |
      | 1.1 seconds pass on the data path           | False  |
