Feature: The request limit that an upstream states is read as a decimal number

  # Guards against a limit that is ignored because of its many decimals.
  Scenario Outline: The limit "<text>" is read
    Then the request limit "<text>" is <per_s> requests a second

    Examples:
      | text               | per_s              |
      | 0                  | 0                  |
      | 2.5                | 2.5                |
      | 12                 | 12                 |
      | 0.3333333333333333 | 0.3333333333333333 |

  # Guards against a malformed limit that counts as none, as 0 or as one without bound.
  Scenario Outline: The limit "<text>" is refused
    Then the request limit "<text>" is refused with a remedy

    Examples:
      | text  |
      | -1    |
      | nan   |
      | inf   |
      | 1e3   |
      | 2,5   |
      | 1.2.3 |
      | many  |
