Feature: Background work goes on after an unexpected error

  # Guards against greetings, load updates and late notices that stop for good after one
  # exception, while the gateway goes on serving.
  Scenario: A periodic task that raises is called again
    Given a periodic task of 0.1 s that raises at its call 2
    When 1 s of it passes
    Then it was called 10 times and has counted 1 failure
    When it is stopped and 1 s of it passes
    Then it was called 10 times and has counted 1 failure

  # Guards against a coroutine that ends for good, and against one that is started again
  # without a pause or after its owner has stopped.
  Scenario: A supervised coroutine that raises is started again after a pause
    Given a supervised coroutine that raises at once
    When 1 s of it passes
    Then it was started 5 to 6 times
    When its owner stops and 1 s of it passes
    Then it was started 5 to 6 times
