Feature: Whatever happens to a long answer that has begun, its caller gets its bytes or a cut

  # Guards against any event that starts another attempt, writes other bytes to the caller,
  # ends the call twice or never, or keeps a permit, a timer or an upstream connection.
  Scenario Outline: Every order of <count> events leaves <kind> answered once
    When each order of <count> events follows the start of a long answer to "<request>"
    Then each caller has got the bytes of one answer, whole or cut, from one upstream

    Examples:
      | kind             | count | request                                   |
      | a safe call      | 3     | GET /a                                    |
      | an unsafe call   | 3     | POST /a x                                 |
      | a claimed call   | 3     | with Idempotency-Key: k >> POST /payments |
