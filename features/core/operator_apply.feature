Feature: A configuration change is applied at most once and reported truthfully

  Scenario: A change is accepted and can be read
    Given an operators' store with a version applied by Uwase
    When Mugisha applies a change
    Then the change is accepted as version 2
    And the members can read the text of Mugisha from the store

  Scenario Outline: Two operators at once
    Given an operators' store with a version applied by Uwase
    When Mugisha and Keza apply a change at the same moment with seed <seed>
    Then exactly one of them is accepted and the other is told who came first
    And 2 commits took effect in all

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario: The answer to a commit that took effect is lost
    Given an operators' store with a version applied by Uwase
    And the store loses the answer of the next 3 commits
    When Mugisha applies a change
    Then the change is accepted as version 2
    And 2 commits took effect in all

  Scenario: A commit that did not take effect is lost
    Given an operators' store with a version applied by Uwase
    And the store loses the request of the next 3 commits
    When Mugisha applies a change
    Then the change is accepted as version 2
    And 2 commits took effect in all

  Scenario: Another change takes effect between a lost commit and its repeat
    Given an operators' store with a version applied by Uwase
    When the commit of Mugisha is lost and Keza applies a change before the repeat
    Then the change is refused since Keza came first, with a way to merge
    And 2 commits took effect in all

  Scenario: A delayed commit arrives after its repeat
    Given an operators' store with a version applied by Uwase
    When the first request of Mugisha arrives only after its repeat
    Then the change is accepted as version 2
    And 2 commits took effect in all

  Scenario: A change that is based on an earlier version is refused
    Given an operators' store with a version applied by Uwase
    When Mugisha applies a change
    And Keza applies a change
    Then the change is refused since Mugisha came first, with a way to merge

  Scenario: The store stops answering after the commit
    Given an operators' store with a version applied by Uwase
    When the store stops answering after the commit of Mugisha took effect
    Then the result is unknown with a command that finds out
    And the command finds that version 2 was accepted

  Scenario: The store is down from the start
    Given an operators' store with a version applied by Uwase
    When Keza applies a change while the store does not answer
    Then nothing was sent and the result says so

  Scenario: A change that is in effect is not applied again
    Given an operators' store with a version applied by Uwase
    When Mugisha applies a change
    And Mugisha applies a change
    Then the change is accepted as version 2
    And 2 commits took effect in all

  Scenario: A long text is split and joined
    When a text of 1200000 bytes with wide characters is split and joined
    Then 3 parts within the size limit give the same text
    And a lost or swapped part is refused
