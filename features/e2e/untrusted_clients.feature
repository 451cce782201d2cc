@alone
Feature: A daemon bears clients that send far more than callers do

  Background:
    Given a local fleet of one daemon with at most 150 connections

  # Each row is one way in which clients that nobody controls may send far more than
  # callers do; guards against a process that they end, stop or shut to other callers.
  Scenario Outline: A daemon bears <clients> clients that send <kind>
    When <clients> clients send <kind>
    Then an ordinary request is answered
    And the process lives, and has used at most 256 MB and 200 descriptors

    Examples: held
      | clients | kind                                |
      | 96      | whole bodies                        |
      | 96      | bodies in pieces                    |
      | 96      | bodies that stop short              |
      | 96      | large chunks that stop short        |
      | 96      | small chunks that stop short        |
      | 96      | endless chunks                      |

    Examples: refused
      | clients | kind                                |
      | 96      | announced bodies far over the limit |

    @known_red
    Examples: not steady
      | clients | kind                                |
      | 300     | heads that stop short               |
