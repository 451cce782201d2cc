Feature: A process runs a daemon until a signal stops it

  # Guards against memory that is never freed: the platform's start script disables
  # garbage collection while it imports modules.
  Scenario: Garbage collection is enabled once the daemon runs
    Given a process that disables garbage collection and then runs a daemon
    When the daemon has started and SIGTERM is sent
    Then garbage collection was enabled, and the process has ended with code 0
