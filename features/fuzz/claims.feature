Feature: Claims keep their promises under random faults

  # Guards against a second run of a key, a caller that is told not_run although its
  # call ran, and an outcome that is acknowledged but not stored.
  Scenario: Random calls, losses, pauses, crashes, outages and memberships
    When the claim machine runs 300 examples of 50 steps with seed 20261204
    Then the claim oracle has found no fault
