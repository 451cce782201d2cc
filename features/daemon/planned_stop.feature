Feature: A planned stop answers every request that has been accepted

  Background:
    Given a caller listener on a loopback port

  # Guards against requests that the kernel has accepted and that closing the port resets.
  Scenario: Connections that the kernel has queued are served
    When 20 callers connect and send a request before the gateway reads
    And the listener stops
    Then all 20 requests are answered with "Connection: close"
    And the stop has ended

  # Guards against a connection that is closed as idle although its request is on its way.
  Scenario Outline: A request that arrives <delay> s after the port has closed is answered
    When a caller connects, <history>
    And the listener stops
    And the caller sends a request after <delay> s
    Then its request is answered with "Connection: close"
    And the stop has ended

    Examples:
      | delay | history                |
      | 0.0   | and sends nothing      |
      | 0.3   | and sends nothing      |
      | 0.3   | and gets one answer    |

  # Guards against a request that has been received but not read when its connection is
  # closed as idle.
  Scenario: A request that lies unread when idle connections are closed is answered
    When a caller connects, and gets one answer
    And the listener stops
    And the caller's request arrives in the step that closes idle connections
    Then its request is answered with "Connection: close"
    And the stop has ended

  # Guards against a stop that takes an idle moment for its end while callers connect.
  Scenario: A call that begins after an idle moment is waited for
    Given calls that take 0.4 s
    When a caller connects, and sends nothing
    And the listener stops
    And the caller sends a request after 0.3 s
    Then the stop has not ended 0.3 s later
    And its request is answered with "Connection: close"
    And the stop has ended

  # Guards against connections that are cut without an answer at the end of a stop.
  Scenario Outline: The end of a stop answers <request>
    Given calls that take 30 s
    When a caller connects, and sends nothing
    And the listener stops within 0.8 s
    And the caller sends <request> after 0.1 s
    Then its request is answered with 503 and "Connection: close"
    And the stop has ended

    Examples:
      | request             |
      | a request           |
      | a part of a request |

  # Guards against callers that go on using a connection of a gateway that is stopping.
  Scenario: Answers during the notice period ask callers to close their connections
    When a caller connects, and gets one answer
    And the stop begins
    And the caller sends a request after 0.1 s
    Then its request is answered with "Connection: close"

  # Guards against a stop that never ends because a caller keeps its connection open.
  Scenario: An idle connection does not delay the end of the stop
    When a caller connects, and gets one answer
    And the listener stops
    Then the stop ends and the connection is closed
