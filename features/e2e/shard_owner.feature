Feature: A payment runs at most once although the owner of its key fails

  Background:
    Given a local fleet of 3 daemons with 8 upstreams per service

  Scenario: An owner is paused between claim and answer and goes on later
    Given 6 payments "owner-paused" of 1500 ms are running through daemon 1
    When daemon 2, which owns some of their keys, is paused
    And the running payments are answered
    Then the callers were told nothing false about them
    When they are sent again through daemon 3 until they are decided
    And the paused daemon 2 goes on
    And they are sent again through daemon 2 until they are decided
    Then each of them ran 1 time

  Scenario: An owner is killed between claim and answer
    Given 6 payments "owner-killed" of 1500 ms are running through daemon 1
    When daemon 3, which owns some of their keys, is killed
    And the running payments are answered
    Then the callers were told nothing false about them
    When they are sent again through daemon 2 until they are decided
    Then each of them ran 1 time
