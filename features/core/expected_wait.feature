Feature: Calls are shed by their expected wait

  Scenario: Calls that arrive right after a coordinator change are not shed
    # Guards against an expected wait that is divided by the calls in progress alone:
    # right after a coordinator change there are none, so a rolling restart refused
    # calls that had 2 s left.
    Given a permit holder in a group of 3 with 9 slots and calls of 60 ms
    When 40 calls with 2 seconds left arrive before any permit
    Then none of the arrived calls is shed

  Scenario: Calls that cannot be served in time are shed
    Given a permit holder in a group of 3 with 9 slots and calls of 60 ms
    When 200 calls with 2 seconds left arrive before any permit
    # 2 s minus two service times of 60 ms, divided by 20 ms per call ahead.
    Then the arrived calls after the first 95 are shed

  Scenario: A call without the time to be served is refused instead of sent
    # Guards against calls that are sent with too little time left: they timed out at
    # the upstream, wasted slots and ejected healthy upstreams, so that an overload of
    # 1.4 times the capacity halved the throughput.
    Given a permit holder in a group of 3 with 9 slots and calls of 60 ms
    When 1 calls with 2 seconds left arrive before any permit
    And 1.89 seconds pass without a permit
    Then the waiting call is refused because of "no permit in time"

  Scenario: A service whose calls take most of their time limit is served
    # Guards against a reserve of two service times without a limit, which refused every
    # call.
    Given a permit holder in a group of 3 with 9 slots and calls of 1500 ms
    When 1 calls with 2 seconds left arrive before any permit
    Then none of the arrived calls is shed
