Feature: Calls are shed by the wait that they can expect

  Scenario: Calls that arrive right after a coordinator change are not shed
    # The expected wait was once divided by the calls in progress alone, which are none
    # at that moment, so that a rolling restart refused calls that had 2 s left.
    Given a permit holder in a group of 3 with 9 slots and calls of 60 ms
    When 40 calls with 2 seconds left arrive before any permit
    Then none of the arrived calls is shed

  Scenario: Calls that cannot be served in time are shed
    Given a permit holder in a group of 3 with 9 slots and calls of 60 ms
    When 200 calls with 2 seconds left arrive before any permit
    Then the arrived calls after the first 101 are shed
