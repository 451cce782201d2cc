Feature: Links between daemons

  Scenario: A tie ends with one link, opened by the lower member id
    When both daemons dial each other at the same moment
    Then they have one link with each other and messages pass both ways
    And "gateway-1" opened the link
    And nothing is scheduled once the links have stopped

  Scenario: Messages of one reactor turn leave in one write
    Given linked daemons 1 and 2
    When daemon 1 sends 25 messages to daemon 2 in one turn
    Then they leave in 1 write
    And all 25 messages arrive in order
    And both daemons count the same bytes for ConfigFetch
    And nothing is scheduled once the links have stopped

  Scenario: Writes are rarer when the byte budget runs out, and nothing is lost
    Given linked daemons 1 and 2
    When daemon 1 has a budget of 2000 bytes a second and sends 200 a second
    Then the interval between writes stays at its longest

  Scenario: Writes are not delayed within the byte budget
    Given linked daemons 1 and 2
    When daemon 1 has a budget of 65536 bytes a second and sends 200 a second
    Then the interval between writes stays at the sender's pace

  Scenario: The send queue of a peer that does not read is bounded
    Given linked daemons 1 and 2
    When daemon 2 stops reading while daemon 1 sends 12 MB
    Then some messages are refused and the link is closed

  Scenario: Attempts to reach a daemon that is gone back off
    Given linked daemons 1 and 2
    When daemon 2 ends and daemon 1 keeps trying for 60 seconds
    Then at most 60 connection attempts were made
    And nothing is scheduled once the links have stopped

  Scenario: A removed member may only take part in membership
    Given linked daemons 1 and 2
    When daemon 1 removes daemon 2 from the members
    And daemon 2 contacts daemon 1 again and sends a message
    Then daemon 1 hears its Hello but not the message

  Scenario Outline: An unusable address is not dialed
    Given linked daemons 1 and 2
    When daemon 1 learns of a member at <address>
    Then daemon 1 dials nobody

    Examples:
      | address      |
      | 192.0.2.1:80 |
      | nowhere      |

  Scenario: Certificates of one authority
    Given two TLS daemons whose certificates are of the same authority
    Then they have one link with each other and messages pass both ways
    And nothing is scheduled once the links have stopped

  Scenario: A certificate of another authority
    Given two TLS daemons whose certificates are of another authority
    Then the daemons have no link

  Scenario: A plain connection to a daemon with TLS
    Given two TLS daemons whose certificates are of the same authority
    When a third daemon without TLS dials the first
    Then "gateway-3" has no link
