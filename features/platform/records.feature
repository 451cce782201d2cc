Feature: The platform's records are decoded completely or refused

  # Guards against an upstream that is taken from a damaged entry or one of another format.
  Scenario Outline: An entry with <fault> gives no upstream
    Then the upstream entry changed by "<change>" is refused

    Examples:
      | fault                   | change                                 |
      | an unknown state        | entry["status"]["state"] = "odd"       |
      | a missing state         | del entry["status"]["state"]           |
      | a number as the state   | entry["status"]["state"] = 3           |
      | no service              | del entry["information"]["service"]    |
      | a text as slots         | entry["information"]["slots"] = "3"    |
      | no slot                 | entry["information"]["slots"] = 0      |
      | a list as information   | entry["information"] = []              |
      | no address              | del entry["address"]                   |
      | an address without port | entry["address"] = "10.0.0.1"          |
      | a name as its port      | entry["address"] = "10.0.0.1:http"     |
      | a port out of range     | entry["address"] = "10.0.0.1:70000"    |
      | a host name             | entry["address"] = "desk.example:80"   |
      | port 0                  | entry["address"] = "10.0.0.1:0"        |
      | a signed port           | entry["address"] = "10.0.0.1:+80"      |
      | a port of 5,000 digits  | entry["address"] = "10.0.0.1:" + "8" * 5000 |
      | too many slots          | entry["information"]["slots"] = 10**18 |
      | a start in the far future | entry["born"] = 2**62                |
      | a start before 1970     | entry["born"] = -1                     |
      | an endless warm-up      | entry["status"]["warmupLeftMs"] = 1e300 |

  # Guards against an entry that stops a gateway from following the others.
  Scenario Outline: An entry with <fault> in its bytes gives no upstream
    Then the upstream entry with the bytes "<found>" in place of "<given>" is refused

    Examples:
      | fault                  | given   | found                 |
      | a list nested deeply    | BORN}        | BORN, 'x': DEEP_LIST}   |
      | an object nested deeply | BORN}        | BORN, 'x': DEEP_OBJECT} |
      | slots of 400 digits     | 'slots':SLOTS | 'slots':HUGE           |
      | a start of 400 digits   | BORN         | HUGE                    |
      | a start beyond floats   | BORN         | 1e400                   |

  Scenario Outline: An upstream id with <fault> gives no upstream
    Then the upstream entry with the id "<id>" is refused

    Examples:
      | fault          | id          |
      | a line break   | i-1\r\nX: y |
      | a space        | i 1         |
      | another script | i-é         |

  Scenario: An entry gives the upstream
    Then the upstream entry is decoded with state "live", incarnation 1700 and 2500 ms cold
    And the upstream entry of a draining server has state "leaving"

  # Guards against a configuration that takes effect in part.
  Scenario Outline: A configuration with <fault> is refused
    Then the configuration changed by "<change>" is refused

    Examples:
      | fault               | change                                                       |
      | an unknown service  | config["routes"]["rows"][0][7] = "nobody"                    |
      | a short row         | config["routes"]["rows"][0].pop()                            |
      | no version          | del config["version"]                                        |
      | a text as time      | config["routes"]["rows"][0][4] = "soon"                      |
      | no time             | config["routes"]["rows"][0][4] = 0                           |
      | weights of 0        | config["routes"]["rows"][1][9] = [{"service": "s", "weight": 0}] |
      | a shared key        | config["tenants"]["rows"][1][1] = ["k-1"]                    |
      | a tenant twice      | config["tenants"]["rows"][1][0] = "one"                      |
      | an empty key        | config["tenants"]["rows"][1][1] = [""]                       |
      | a name with a line break | config["tenants"]["rows"][1][0] = "a\nX: y"            |
      | a negative quota    | config["tenants"]["rows"][0][3] = -1                         |
      | a negative rank     | config["tenants"]["rows"][0][2] = -1                         |
      | a negative limit    | config["limits"]["bodyBytes"] = -1                           |
      | a negative time     | config["routes"]["rows"][0][4] = -5                          |
      | a prefix without its last slash | config["routes"]["rows"][0][2] = "/x"            |
      | two routes in one place | config["routes"]["rows"][1][2] = "/x/"                   |

  Scenario: A configuration gives routes, services and limits
    Then the configuration is decoded to 2 routes, 2 services and an idle time of 15000 ms
    And its route 0 is not idempotent with 2 attempts, a time limit of 600 and a target of 250 ms
    And its route 1 is split 90 to 10

  Scenario: A configuration gives workspaces, their keys, ranks and quotas
    Then workspace "one" has the keys "k-1 k-2", priority 0, 147 requests a second and a burst of 20
    And workspace "two" has the keys "k-3", priority None, 0 requests a second and a burst of 0
    And a configuration without tenants needs no keys

  # Guards against keys in the log, where each refused configuration is reported.
  Scenario: The reason of a refusal repeats no key
    Then the refusal of the configuration changed by "config["tenants"]["rows"][1][1] = ["k-1"]" names "two" and no key

  # Guards against a process that starts with settings that lack values or have wrong types.
  Scenario Outline: Settings with <fault> are refused
    Then the node settings changed by "<change>" are refused

    Examples:
      | fault              | change                                       |
      | no address         | del node["network"]["listen"]["front"]       |
      | no store           | del node["platform"]["platform"]             |
      | a text as ports    | node["network"]["internalPorts"] = "7000"    |

  Scenario: Unknown fields of the settings are ignored
    Then the node settings give the peers' address "127.0.0.1:7660" and the seed "127.0.0.2:7660"
