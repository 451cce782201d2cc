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
      | the same match twice   | [{service = "desk"}, {service = "desk"}]                   | has two routes      |
