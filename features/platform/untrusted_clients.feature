@alone
Feature: A gateway of the platform bears clients that send far more than callers do

  Background:
    Given a gateway with 150 MB and 400 descriptors on a stand-in of the platform

  # Guards against a bound that refuses what the limits allow, and against a body that is
  # held more than once.
  Scenario: A single body of the largest size is served on a small machine
    Given a limit of 67108864 bytes on bodies
    When one client sends a body of 67108864 bytes
    Then its request is answered with 200
    And the process lives, and has used at most 150 MB and 200 descriptors

  # Each row is one way in which clients that nobody controls may send far more than
  # callers do; guards against a process that they end, stop or shut to other callers.
  Scenario Outline: A gateway bears <clients> clients that send <kind>
    When <clients> clients send <kind>
    Then an ordinary request is answered
    And the process lives, and has used at most 150 MB and 200 descriptors

    Examples: held
      | clients | kind                                |
      | 48      | whole bodies                        |
      | 48      | bodies in pieces                    |
      | 48      | bodies that stop short              |
      | 48      | large chunks that stop short        |
      | 48      | small chunks that stop short        |
      | 48      | endless chunks                      |
      | 300     | heads that stop short               |

    Examples: refused
      | clients | kind                                |
      | 48      | announced bodies far over the limit |
