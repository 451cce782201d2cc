Feature: Requests are matched to services and routes

  # Guards against requests that reach the wrong service, or that bypass a rule by an
  # equivalent spelling of their path.
  Scenario Outline: <method> <path> at <host> follows the text
    Given a matcher for the text
      """
      [services.desk]
      hosts = ["desk.example"]
      timeout_ms = 900
      routes = [
          { path_prefix = "/pay", require_key = true },
          { path_prefix = "/pay/quotes", methods = ["POST"], idempotent = true, timeout_ms = 100 },
      ]

      [services.archive]
      hosts = ["desk.example"]
      path_prefixes = ["/archive"]

      [services.other]
      """
    Then "<method> <path>" for host "<host>" matches "<route>"

    Examples:
      | method | path          | host            | route                     |
      | GET    | /             | desk.example    | desk idempotent 0.9       |
      | GET    | /             | DESK.example:80 | desk idempotent 0.9       |
      | GET    | /archive/7    | desk.example    | archive idempotent 2.0    |
      | GET    | /archives     | desk.example    | desk idempotent 0.9       |
      | POST   | /pay          | desk.example    | desk keyed 0.9            |
      | POST   | /pay/1        | desk.example    | desk keyed 0.9            |
      | POST   | /payment      | desk.example    | desk 0.9                  |
      | POST   | /pay/quotes   | desk.example    | desk idempotent 0.1       |
      | PUT    | /pay/quotes   | desk.example    | desk idempotent keyed 0.9 |
      | PATCH  | /x            | other.example   | other 2.0                 |
      | POST   | //pay         | desk.example    | desk keyed 0.9            |
      | POST   | /%70ay        | desk.example    | desk keyed 0.9            |
      | GET    | /a/../pay     | desk.example    | 400                       |
      | GET    | /a/%2E%2e/pay | desk.example    | 400                       |
      | GET    | /./pay        | desk.example    | 400                       |
      | GET    | /a\pay        | desk.example    | 400                       |
