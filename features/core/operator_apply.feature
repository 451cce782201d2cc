Feature: A configuration change is applied at most once and reported truthfully

  # Guards against a change that takes effect twice, that replaces another operator's
  # change unseen, or whose result is reported wrongly because a call to the store was
  # lost or delayed.
  Scenario Outline: <failure>
    Given simulated operators with "<seed>"
    When the simulation goes through "<events>"
    Then the simulation ends with "<checks>"

    Examples:
      | failure                                 | seed | events                          | checks                                          |
      | None                                    | 1    | applies: Keza                   | accepted: 2, readable: Keza                     |
      | Two operators at once 1                 | 1    | at once: Keza Uwase             | took effect: 2                                  |
      | Two operators at once 2                 | 2    | at once: Keza Uwase             | took effect: 2                                  |
      | Two operators at once 3                 | 3    | at once: Keza Uwase             | took effect: 2                                  |
      | Two operators at once 4                 | 4    | at once: Uwase Keza             | took effect: 2                                  |
      | The answer to the commit is lost        | 1    | lose: answer 3, applies: Keza   | accepted: 2, took effect: 2                     |
      | The commit itself is lost               | 1    | lose: request 3, applies: Keza  | accepted: 2, took effect: 2                     |
      | Another change before the repeat        | 1    | other before repeat: Keza Uwase | refused for: Uwase, took effect: 2              |
      | The lost commit arrives after its repeat | 1   | late request: Keza              | accepted: 2, took effect: 2                     |
      | The change is based on an old version   | 1    | applies: Keza, applies: Uwase   | refused for: Keza, took effect: 2               |
      | The store goes down after the commit    | 1    | store ends after commit: Keza   | unknown until resolved as: 2                    |
      | The store is down from the start        | 1    | store down, applies: Keza       | not sent                                        |
      | The change is already in effect         | 1    | applies: Keza, applies: Keza    | accepted: 2, took effect: 2                     |
      | A part of a long text is damaged        | 1    | applies: Keza                   | long text is split and checked                  |
