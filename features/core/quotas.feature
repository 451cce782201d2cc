Feature: The banks of some zones keep the quota of a workspace

  # Guards against refusals below the quota when the callers of a workspace are spread
  # unevenly over the zones, or move.
  Scenario Outline: Callers within a quota of <per_s> are served wherever they are
    Given banks in 3 zones for a quota of <per_s> requests a second and a burst of <burst>
    When callers make <rate> requests a second for 6 s, spread 34, 33 and 33 %
    And callers make <rate> requests a second for 6 s, spread 90, 5 and 5 %
    And callers make <rate> requests a second for 6 s, spread 0, 10 and 90 %
    Then no more than 0.1 % are refused beyond what one token bucket would refuse
    And the workspace has never sent more than its quota allows

    Examples:
      | per_s | burst | rate |
      | 147   | 147   | 120  |
      | 40    | 40    | 34   |
      | 3     | 3     | 2    |
      | 1     | 1     | 0.6  |

  # Guards against a part of the burst that lies unused in other zones.
  Scenario: A burst in one zone is served whole
    Given banks in 3 zones for a quota of 147 requests a second and a burst of 147
    When callers make 40 requests a second for 6 s, spread 34, 33 and 33 %
    And 140 requests arrive at once in one zone
    Then none of these are refused
    And the workspace has never sent more than its quota allows

  # Guards against a workspace that takes the room of others, and against one that is
  # refused more than its quota demands.
  Scenario Outline: A workspace that sends <rate> requests a second gets its quota
    Given banks in 3 zones for a quota of <per_s> requests a second and a burst of <burst>
    When callers make <rate> requests a second for 12 s, spread <spread> %
    Then the workspace has never sent more than its quota allows
    And the workspace has sent at least 95 % of what its quota allows
    And callers are told to return between 0 and 5 s later, not as a wave

    Examples:
      | per_s | burst | rate | spread        |
      | 60    | 60    | 450  | 34, 33 and 33 |
      | 60    | 60    | 450  | 80, 10 and 10 |
      | 4     | 4     | 30   | 50, 40 and 10 |

  # Guards against grants by the bank before and the bank after, when the gateway that
  # keeps it is lost, and against a gateway that wakes up with what it had.
  Scenario Outline: The quota is kept when <event>
    Given banks in 3 zones for a quota of <per_s> requests a second and a burst of <per_s>
    When callers make <rate> requests a second for 6 s, spread 34, 33 and 33 %
    And <event> while callers make <rate> requests a second for 6 s
    Then the workspace has never sent more than its quota allows

    Examples:
      | event                                     | per_s | rate |
      | a bank is lost and replaced every 2 s     | 60    | 450  |
      | a bank is lost and replaced every 2 s     | 3     | 22   |
      | all banks are lost and replaced at once   | 147   | 1100 |
      | all banks are lost and replaced at once   | 3     | 22   |
      | the zones are cut off from each other     | 147   | 1100 |

  # Guards against callers that find nothing after a restart of the whole fleet.
  Scenario: Callers within the quota are served after all banks have been replaced
    Given banks in 3 zones for a quota of 147 requests a second and a burst of 147
    When callers make 100 requests a second for 6 s, spread 34, 33 and 33 %
    And all banks are lost and replaced at once while callers make 100 requests a second for 6 s
    Then no more than 1 % are refused beyond what one token bucket would refuse

  # Guards against a lower limit that only counts when the former burst is spent.
  Scenario: A lowered quota binds one window later
    Given banks in 3 zones for a quota of 60 requests a second and a burst of 60
    When callers make 50 requests a second for 6 s, spread 34, 33 and 33 %
    And the quota is lowered to 6 requests a second and a burst of 6
    And callers make 50 requests a second for 12 s, spread 34, 33 and 33 %
    Then the workspace has sent no more than its lower quota allows

  # Guards against calls refused for other reasons that use up the quota.
  Scenario: Requests that are given back can be used again
    Given banks in 3 zones for a quota of 40 requests a second and a burst of 40
    When callers make 200 requests a second for 6 s, of which 9 in 10 are given back
    Then no more than 0.1 % are refused beyond what one token bucket would refuse
