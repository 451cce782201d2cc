Feature: A connection of a caller keeps nothing and loses nothing

  Background:
    Given a caller listener on a loopback port

  # Guards against an answer that is cut by a reset, as further requests of the caller
  # were not read when its connection was closed.
  Scenario: A planned stop sends the whole answer to the first of several requests
    Given calls that take 0.3 s and are answered with 300000 bytes
    When a caller with a small window connects
    And the caller sends 3 requests, one after another
    And the listener stops
    And more of the caller's requests arrive while it reads slowly
    Then the caller gets 300000 bytes
    And the stop has ended

  # Guards against a refusal that is lost in a reset, as the body was not read.
  Scenario: The refusal of a long body reaches a caller that goes on sending it
    When a caller connects, and sends nothing
    And the caller sends a body of 8000000 bytes
    Then its request is answered with 413 and "Connection: close"

  # Guards against requests that wait for or run at an upstream although nobody waits for
  # their answers any more.
  Scenario: The end of a connection is noticed behind queued requests
    Given calls that take 30 s
    When a caller connects, and sends nothing
    And the caller sends 3 requests, one after another
    And the caller closes its connection
    Then the call in progress learns that its caller has left

  # Guards against limits of an older configuration on connections that stay open.
  Scenario: A raised limit holds on a connection that is open
    When a caller connects, and gets one answer
    And the limit on bodies is raised to 2000000 bytes
    And the caller sends a body of 1500000 bytes
    Then its body is accepted

  # Guards against an answer that is cut by a reset, as the gateway waited only for the
  # kernel to take the bytes and not for the caller to receive them.
  Scenario: A caller that reads slowly gets the whole last answer
    Given calls that take 0 s and are answered with 60000 bytes
    When a caller with a small window connects
    And the caller sends its last request and does not read
    And the time to wait for the caller is over
    Then the caller gets 60000 bytes

  # Guards against calls that have run and lose their answers to new connections.
  Scenario: A connection with an unsent last answer does not make room for another one
    Given calls that take 0 s and are answered with 60000 bytes
    And at most 1 connection
    When a caller with a small window connects
    And the kernel takes few bytes of its answer at once
    And the caller sends its last request and does not read
    And another caller connects, and is refused with 503
    Then the caller gets 60000 bytes

  # Guards against connections that are closed without an answer, so that their callers
  # cannot know whether the request has run.
  Scenario: A connection that makes room before its first answer gets a refusal
    Given at most 1 connection
    When a caller connects, and sends nothing
    And the connection is unused for 1 s
    And another caller connects, and is admitted
    Then the first caller is refused with 503

  # Guards against honest requests that are lost as the gateway has not read them yet.
  Scenario: A connection whose request waits in the kernel does not make room
    Given at most 1 connection
    When a caller connects, and sends nothing
    And the connection is unused for 1 s
    And the caller sends a request just before the limit is reached
    Then the caller gets its answer
