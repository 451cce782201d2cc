Feature: Messages between daemons are encoded and decoded without loss

  Scenario Outline: A message is decoded as it was encoded
    Given a peer message "<name>" with sample content
    When it is encoded and decoded
    Then the result equals the original

    Examples:
      | name           |
      | Ping           |
      | ConfigText     |
      | Release        |
      | ClaimReply     |
      | ClaimRequest   |

  Scenario: Malformed bytes are rejected with a codec error
    When 2000 random byte strings with seed 7 are decoded
    Then each gives either a message or a codec error

  Scenario: Text that is not UTF-8 is rejected with a codec error
    Given a peer message "Ping" with sample content
    When its text bytes are replaced by bytes that are not UTF-8
    Then the codec rejects it

  Scenario: A truncated message is rejected with a codec error
    Given a peer message "ClaimReply" with sample content
    When every proper prefix of its encoding is decoded
    Then each gives either a message or a codec error

  # Guards against a failed rolling upgrade, in which older daemons omit newer fields.
  Scenario: A field with a default may be missing in a message of an older daemon
    When a release without its last field is decoded
    Then the release has no urgent calls
