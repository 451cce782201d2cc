Feature: Real gateways in front of a stand-in of the platform

  Background:
    Given two gateways on a stand-in of the platform with upstreams "i-1 i-2 i-3"

  # Guards against components that work alone but not together.
  Scenario: A request is answered by an upstream through each gateway
    Then 20 safe requests through each gateway are answered by upstreams

  # Guards against requests to an upstream that has announced that it leaves.
  Scenario: A draining upstream gets no more requests
    When the platform's upstream "i-3" drains
    And both gateways have applied it
    Then 20 safe requests through each gateway are answered by upstreams
    And upstream "i-3" has run none of them

  # Guards against a version that does not take effect everywhere or is lost at a restart.
  Scenario: A removed route stays removed on both gateways and after a restart
    When the platform's configuration is replaced by one without the unsafe route
    And both gateways have applied it
    Then unsafe requests are answered with 404 by both gateways
    When a gateway is killed and started again
    Then unsafe requests are answered with 404 by both gateways

  # Guards against a gateway that stays at the revisions from before a restore.
  Scenario: A route that is added after a restore of the store is served
    When the platform's store is copied, changed 6 times and comes back from the copy
    And the platform's configuration is replaced by one without the unsafe route
    And both gateways have applied it
    Then unsafe requests are answered with 404 by both gateways
    And 20 safe requests through each gateway are answered by upstreams

  # Guards against failed requests during an outage of the store.
  Scenario: Requests are answered while the store is down
    When the platform's store is down
    Then 20 safe requests through each gateway are answered by upstreams

  # Guards against gateways that exit at a SIGHUP, which the platform sends when their
  # settings change.
  Scenario: SIGHUP does not end a gateway
    When both gateways get SIGHUP
    Then 20 safe requests through each gateway are answered by upstreams
    And both gateways run

  # Guards against requests that a planned stop interrupts.
  Scenario: A planned stop lets a request in progress finish
    Given the platform's upstreams take 1.5 s
    When a request is in progress at the first gateway and it gets SIGTERM
    Then the request is answered by an upstream
    And the first gateway ends with code 0

  # Guards against lost requests: those on kept-alive connections were accepted until the
  # process ended.
  Scenario: A planned stop closes idle connections while a call is in progress
    Given the platform's upstreams take 3.5 s
    When a connection is idle at the first gateway while a request is in progress
    And the first gateway gets SIGTERM
    Then the idle connection is closed before the request is answered

  # Guards against lost requests: one on a connection that was opened while the last calls
  # finished was interrupted by the end of the process.
  Scenario: A planned stop interrupts no request of callers that connect until the end
    Given the platform's upstreams take 0.3 s
    When the first gateway gets SIGTERM while callers connect one after another
    Then no request that ran was left without an answer

  # Guards against a request that arrives late in a planned stop, is passed on and is cut off
  # without an answer when the gateway ends.
  Scenario: A planned stop refuses a request that arrives late and may outlast it
    Given the platform's upstreams take 4 s
    When the first gateway gets SIGTERM and the last byte of a request follows 3.5 s later
    Then the request is refused as not run
    And the first gateway ends with code 0

  # Guards against an unsafe request that runs again because its upstream was slow.
  Scenario: Unsafe requests run once
    Then 30 unsafe requests have run once each

  # Guards against a metrics page that is out of date or lacks durations.
  Scenario: The metrics page counts calls and their times
    Then 20 safe requests through each gateway are answered by upstreams
    And the metrics pages count at least 20 calls and as many times

  # Guards against calls that block because the reader of the log does not read.
  Scenario: A log that nobody reads does not slow calls
    Given gateways whose log output is not read
    Then 400 safe requests through each gateway are answered by upstreams

  # Guards against a gateway that a SIGHUP terminates while it starts.
  Scenario: SIGHUP is ignored before any module of the gateway is imported
    Then the start of the gateway ignores SIGHUP before it imports the gateway

  # Guards against a start that takes longer because of modules that the gateway never uses;
  # callers wait for it after a power loss.
  Scenario: Modules of unused protocols are not loaded by the start
    Then the start of the gateway leaves "urllib.request email.parser http.client" unloaded
