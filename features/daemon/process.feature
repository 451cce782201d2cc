Feature: A process runs a daemon until it is told to stop

  # Guards against memory that is never freed: the platform's start script disables the
  # search for garbage while it imports modules.
  Scenario: Garbage is collected once the daemon runs
    Given a process that disables the search for garbage and then runs a daemon
    When the daemon has started and SIGTERM is sent
    Then the search for garbage was enabled, and the process has ended with code 0
