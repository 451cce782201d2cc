Feature: A call passes a daemon and its answer comes back whole

  Background:
    Given a local fleet of 2 daemons with 2 upstreams per service

  Scenario Outline: The answer to a call is whole whatever its size
    When service "<service>" is called through daemon <daemon> for <size> bytes
    Then the caller gets its own whole answer
    And the answer has <size> bytes

    Examples:
      | service   | daemon | size    |
      | desk      | 1      | 512     |
      | catalogue | 2      | 512     |
      | desk      | 2      | 200000  |
      | catalogue | 1      | 1500000 |

  Scenario: A call to an unknown service is refused as not run
    When host name "unknown.umujyi.example" is called through daemon 1
    Then the caller is told that the call was not run
