Feature: Requests are matched to services and routes

  Background:
    Given a matcher for the text
      """
      [services.desk]
      hosts = ["desk.example"]
      timeout_ms = 900

      [[services.desk.routes]]
      path_prefix = "/pay"
      require_key = true

      [[services.desk.routes]]
      path_prefix = "/pay/quotes"
      methods = ["POST"]
      idempotent = true
      timeout_ms = 100

      [services.archive]
      hosts = ["desk.example"]
      path_prefixes = ["/archive"]

      [services.fallback]
      """

  # Guards against requests that reach another service or evade a rule.
  Scenario Outline: The named host, then the longest prefix of whole segments wins
    When "<method> <path>" for host "<host>" is matched
    Then the route has service "<service>", idempotent <idempotent>, key rule <key> and <seconds> s

    Examples:
      | method | path          | host             | service  | idempotent | key   | seconds |
      | GET    | /             | desk.example     | desk     | True       | False | 0.9     |
      | GET    | /             | DESK.example:80  | desk     | True       | False | 0.9     |
      | GET    | /archive/7    | desk.example     | archive  | True       | False | 2.0     |
      | GET    | /archives     | desk.example     | desk     | True       | False | 0.9     |
      | POST   | /pay          | desk.example     | desk     | False      | True  | 0.9     |
      | POST   | /pay/1        | desk.example     | desk     | False      | True  | 0.9     |
      | POST   | /payment      | desk.example     | desk     | False      | False | 0.9     |
      | POST   | /pay/quotes   | desk.example     | desk     | True       | False | 0.1     |
      | PUT    | /pay/quotes   | desk.example     | desk     | True       | True  | 0.9     |
      | PATCH  | /x            | other.example    | fallback | False      | False | 2.0     |
      | POST   | //pay         | desk.example     | desk     | False      | True  | 0.9     |
      | POST   | /%70ay        | desk.example     | desk     | False      | True  | 0.9     |

  Scenario Outline: A path that two servers may resolve differently is refused
    When "GET <path>" for host "desk.example" is matched
    Then the match fails with status 400

    Examples:
      | path           |
      | /a/../pay      |
      | /a/%2E%2e/pay  |
      | /./pay         |
      | /a\pay         |
