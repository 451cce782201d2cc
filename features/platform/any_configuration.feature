Feature: Damaged settings and configurations are refused with a typed error

  # Guards against an unexpected error while a configuration or a settings file is read: it
  # would keep a gateway from starting, or from following later versions.
  Scenario Outline: No value in place of another one raises an unexpected error in <kind>
    Then 300 damaged <kind> are decoded or refused with a typed error

    Examples:
      | kind                    |
      | node settings           |
      | operators' texts        |
      | platform configurations |
