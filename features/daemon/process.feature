Feature: A process runs a daemon until a signal stops it

  # Guards against memory that is never freed: the platform's start script disables
  # garbage collection while it imports modules.
  Scenario: Garbage collection is enabled once the daemon runs
    Given a process that disables garbage collection and then runs a daemon
    When the daemon has started and SIGTERM is sent
    Then garbage collection was enabled, and the process has ended with code 0

  # Guards against a lease or permit that is taken for valid after the host was suspended:
  # the monotonic clock does not count that time.
  Scenario: The clock of a process goes on while its host is suspended
    Given a process that prints by which clock its timers run
    When the daemon has started and SIGTERM is sent
    Then the clock was the one that counts suspended time
