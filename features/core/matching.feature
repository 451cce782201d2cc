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
      path_prefixes = ["/archive", "/a%20b", "//double"]

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
      | GET    | /a%20b/1      | desk.example    | archive idempotent 2.0    |
      | GET    | /a%20bc       | desk.example    | desk idempotent 0.9       |
      | GET    | /%61%20b      | desk.example    | archive idempotent 2.0    |
      | GET    | /double       | desk.example    | archive idempotent 2.0    |
      | GET    | /archive%2F7  | desk.example    | archive idempotent 2.0    |
      | POST   | //pay         | desk.example    | desk keyed 0.9            |
      | POST   | /%70ay        | desk.example    | desk keyed 0.9            |
      | GET    | /a/../pay     | desk.example    | 400                       |
      | GET    | /a/%2E%2e/pay | desk.example    | 400                       |
      | GET    | /./pay        | desk.example    | 400                       |
      | GET    | /a\pay        | desk.example    | 400                       |

  # Guards against rules that are accepted and then match no request, and against two
  # services whose prefixes are spellings of the same one.
  Scenario Outline: A text with <fault> is refused
    Then the text "<services>" is refused because of "<problem>"

    Examples:
      | fault                   | services                                                   | problem          |
      | dot segments            | [services.a]\npath_prefixes = ["/a/../b"]                  | dot segments     |
      | encoded dot segments    | [services.a]\npath_prefixes = ["/%2e%2E/b"]                | dot segments     |
      | an encoded backslash    | [services.a]\nroutes = [{path_prefix = "/a%5Cb"}]          | dot segments     |
      | one prefix spelt twice  | [services.a]\npath_prefixes = ["/ab"]\n[services.b]\npath_prefixes = ["//%61b"] | match service |
      | one host spelt twice    | [services.a]\nhosts = ["A"]\n[services.b]\nhosts = ["a:80"] | match service    |
