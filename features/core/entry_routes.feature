Feature: Entry routes map a host and a path prefix to a service with their own rules

  Background:
    Given a matcher for the text
      """
      [services.desk]
      path_prefixes = []
      [services.shop]
      path_prefixes = []
      [[routes]]
      host = "a.example"
      path_prefix = "/orders/"
      service = "desk"
      idempotent = true
      timeout_ms = 500
      [[routes]]
      host = "a.example"
      path_prefix = "/orders/paid/"
      service = "shop"
      idempotent = false
      timeout_ms = 600
      [[routes]]
      host = "b.example"
      path_prefix = "/mixed/"
      split = [{ service = "desk", weight = 9 }, { service = "shop", weight = 1 }]
      """

  # Guards against a route with a shorter prefix that matches the requests of a route with
  # a longer one.
  Scenario Outline: The longest prefix of the host wins
    Then "<request>" for host "<host>" matches "<expected>"

    Examples:
      | request            | host      | expected                |
      | POST /orders/1     | a.example | desk idempotent 0.5     |
      | GET /orders/paid/1 | a.example | shop 0.6                |
      | GET /orders/paid   | a.example | desk idempotent 0.5     |
      | GET /orders/1      | b.example | 404                     |
      | GET /other/1       | a.example | 404                     |

  # Guards against a request that is run by a service to which no route leads its path as
  # it was sent; each form of configuration reads paths in the same way.
  Scenario Outline: The path <path> is compared as it was sent
    Then "<path>" matches the prefix "<prefix>" of the routes "/o/ /o/p/ /o/%70%2Fq/ /o//r/" in each configuration form

    Examples:
      | path         | prefix      |
      | /o/p/7       | /o/p/       |
      | /o/p         | /o/         |
      | /o/p%2F7     | /o/         |
      | /o/%70/7     | /o/         |
      | /o//p/7      | /o/         |
      | /o/%70%2Fq/7 | /o/%70%2Fq/ |
      | /o/%70%2fq/7 | /o/         |
      | /o/p/q/7     | /o/p/       |
      | /o//r/7      | /o//r/      |
      | /o/r/7       | /o/         |
      | /o/P/7       | /o/         |
      | /o/p;x/7     | /o/         |
      | /o/p/7%3Fx   | /o/p/       |
      | //o/p/7      | 404         |
      | /%6F/p/7     | 404         |
      | /o%2Fp/7     | 404         |
      | /O/p/7       | 404         |
      | /o           | 404         |
      | /o/p/../7    | 400         |
      | /o/%2E%2e/p/ | 400         |
      | /o/..%2Fp/   | 400         |
      | /o/p\7       | 400         |
      | /o/p%5C7     | 400         |

  # Guards against two readings of a host, in requests and in the text.
  Scenario Outline: The host <host> matches the routes of A.example:80 in each form
    Then host "<host>" matches "<result>" with routes of "A.example:80" in each configuration form

    Examples:
      | host           | result |
      | a.example      | /o/    |
      | A.EXAMPLE      | /o/    |
      | a.example:81   | /o/    |
      | a.example.     | 404    |
      | b.a.example    | 404    |
      | [::1]:80       | 404    |

  # Guards against shares that deviate from the weights over a few hundred requests, also
  # for gateways that start at different offsets of the sequence.
  Scenario: A split follows its weights from any start
    Then 300 requests for "b.example/mixed/1" from 20 starts go to "shop" in 24 to 36 cases

  # Guards against an invalid text that is accepted and then fails while a request is
  # matched.
  Scenario Outline: A route with <fault> is refused
    Then the routes "<routes>" are refused because of "<problem>"

    Examples:
      | fault                  | routes                                                     | problem             |
      | an unknown service     | [{service = "nobody"}]                                     | is not defined      |
      | neither part           | [{host = "a"}]                                             | either a service    |
      | service and split      | [{service = "desk", split = [{service="desk", weight=1}]}] | either a service    |
      | weights of 0           | [{split = [{service="desk", weight=0}]}]                   | sum up to 0         |
      | a negative weight      | [{split = [{service="desk", weight=-1}, {service="desk", weight=2}]}] | negative |
      | no slash               | [{service = "desk", path_prefix = "a/"}]                   | no leading slash    |
      | no time                | [{service = "desk", timeout_ms = 0}]                       | must be positive    |
      | the same host twice    | [{service = "desk", host = "a"}, {service = "desk", host = "A:80"}] | has two routes |
      | the same match twice   | [{service = "desk"}, {service = "desk"}]                   | has two routes      |
