Feature: A call passes through the gateway unchanged

  # Guards against answers that are lost, changed or sent to the wrong request.
  Scenario Outline: A plain call is forwarded and answered
    Given a data path to 2 upstreams of the desk
    When the caller sends "<request>" with body "<body>"
    And the upstream answers <status> with body "done"
    Then the caller receives <status> with body "done"
    And the upstream received a request that starts with "<request> HTTP/1.1"

    Examples:
      | request         | body  | status |
      | GET /sheets?a=b | x     | 200    |
      | POST /sheets    | hello | 201    |
