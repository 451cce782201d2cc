Feature: Operators check, apply and read the text with the client

  Background:
    Given an operator's client beside a local fleet of 1 daemon

  Scenario: A valid text is applied and shown
    When the operator applies the fleet's text with a new comment
    Then the client exits with 0
    And the client's show command prints that comment

  # Guards against keys on operators' screens and in the records of their terminals.
  Scenario: Keys of workspaces are hidden unless they are asked for
    When the operator applies the fleet's text with the workspace "one" and its key "k-7f21"
    Then the client exits with 0
    And the client's show command prints "hidden:" and not "k-7f21"
    And the client's show command with "--with-keys" prints "k-7f21"
    And no daemon shows "k-7f21" in its configuration

  # Guards against a shown text that takes all keys away when it is applied again.
  Scenario: A text with hidden keys is refused
    When the operator applies the fleet's text with the workspace "one" and its key "hidden:5d7a32"
    Then the client exits with 1
    And the client's output names "show --with-keys"

  Scenario: A change based on another version is refused and names the earlier change
    When the operator applies the fleet's text with a new comment and base 99
    Then the client exits with 1
    And the client's output names "came first"
    And the client's show command does not print that comment

  Scenario: A misspelt flag after apply changes nothing
    # fire calls a command before it detects a flag that the command does not have.
    When the operator applies the fleet's text with a new comment and flag "--bsae=1"
    Then the client exits with 2
    And the client's show command does not print that comment

  Scenario Outline: An invalid text is refused with place, problem and remedy
    When the operator applies the text <text>
    Then the client exits with 1
    And the client's output names "<place>"

    Examples:
      | text                                                 | place                     |
      | [services.desk]/slots_per_upstream = "three"         | slots_per_upstream        |
      | [services.desk]/slotz = 3                            | remove the key            |
      | [services.desk]/depends_on = ["stock"]               | services.desk.depends_on  |
      | [services.a]/hosts=["a"]/depends_on = ["a"]          | dependency cycle a -> a   |
      | [services.a]/hosts=["h"]/[services.b]/hosts=["h"]    | requests for h/ match     |
      | [services.desk                                       | not valid TOML            |

  Scenario: An apply to an unreachable store fails and reports that nothing was changed
    When the operator applies the fleet's text to an unreachable store
    Then the client exits with 1
    And the client's output names "nothing was changed"

  Scenario Outline: The daemons' state is printed
    When the operator queries the daemons with "<command>"
    Then the client exits with 0
    And the client's output names "<words>"

    Examples:
      | command                                  | words                         |
      | status                                   | serving                       |
      | status --json                            | "coordinates": "catalogue, d  |
      | upstreams                                | desk-1                        |
      | explain desk.umujyi.example/payments     | goes to service 'desk'        |
      | explain --method=POST desk.umujyi.example/payments | key is required     |

  Scenario: Unusable daemon settings are refused at the start
    When a daemon is started with the flag "--member-idd=x"
    Then the client exits with 2
    And the client's output names "unknown setting"
