Feature: Zones lend each other room

  Guards against a zone that refuses calls while another one has free slots, and against
  zones that overload the one they turn to, or send calls back and forth.

  Scenario: A zone without free slots borrows and keeps on until it has enough for itself
    Given a zone whose service has 40 slots
    When 36 slots are in use
    Then the service is short of room
    When 30 slots are in use for 2 s
    Then the service is short of room
    When 20 slots are in use for 0.4 s
    Then the service is short of room
    When 20 slots are in use for 0.6 s
    Then the service has enough room

  Scenario: Calls that wait are a need, whatever the number of slots in use
    Given a zone whose service has 40 slots
    When 4 slots are in use while 2 calls wait
    Then the service is short of room

  Scenario Outline: What is lent fits into the free slots, however many ask
    Given a zone whose service has <slots> slots, <used> of them in use
    When <borrowers> gateways of other zones ask for room in turn
    Then each of them may send <calls> calls

    Examples:
      | slots | used | borrowers | calls |
      | 40    | 14   | 1         | 20    |
      | 40    | 14   | 2         | 10    |
      | 40    | 33   | 2         | 0     |
      | 40    | 40   | 1         | 0     |
      | 0     | 0    | 1         | 0     |

  Scenario: What one gateway has been lent is not lent to another one too
    Given a zone whose service has 40 slots, 14 of them in use
    When 1 gateways of other zones ask for room in turn
    And a second gateway asks for room as well
    Then the second one may send 0 calls

  Scenario: A zone whose own calls wait lends nothing
    Given a zone whose service has 40 slots, 10 of them in use
    And 1 of its own calls waits
    When 1 gateways of other zones ask for room in turn
    Then each of them may send 0 calls

  Scenario: A borrower that was lost has no part of the room any more
    Given a zone whose service has 40 slots, 14 of them in use
    When 2 gateways of other zones ask for room in turn
    And only the first one asks 0.4 s later
    Then each of them may send 20 calls

  Scenario: A loan is used up call by call
    Given a loan of 2 calls by zone "b"
    When 1 calls go to zone "b"
    Then 1 more calls may go there
    When 1 calls go to zone "b"
    Then 0 more calls may go there

  Scenario: A loan ends by itself when its lender is lost
    Given a loan of 2 calls by zone "b"
    When no answer of the lender comes for 0.3 s
    Then 0 more calls may go there

  Scenario: Demand that swings between two zones settles instead of oscillating
    Given two zones of 40 slots whose load moves from one to the other every 5 s
    When they borrow from each other for 30 s
    Then no call is without a slot though the other zone had 8 free ones
    And a zone begins to borrow at most 4 times
