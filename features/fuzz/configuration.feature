Feature: Configuration versions spread under random faults

  # Guards against a member that goes back to an earlier version, adopts a damaged text
  # or never gets the highest version.
  Scenario: Random acceptances, losses, restarts and outages
    When the configuration machine runs 100 examples of 60 steps with seed 20261204
    Then the configuration oracle has found no fault
