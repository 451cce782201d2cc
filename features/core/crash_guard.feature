Feature: Requests that crash upstreams are refused everywhere

  # "cut r desk-1 1.0" cuts request r at desk-1 at 1.0 s; "-" is another connection.
  Scenario Outline: No <failure>
    Given a crash guard with limit 2 and quarantine 600 s
    When the crash guard sees "<events>"
    Then the crash guard sends <marks> marks, refuses "<refused>" and runs "<run>"

    Examples:
      | failure                             | events | marks | refused | run |
      | mark for a lost connection          | cut r desk-1 1.0; cut - desk-1 1.6; cut - desk-2 1.1 | 0 | | r@2.0 |
      | refusal after one crash             | cut r desk-1 1.0; cut - desk-1 1.4 | 1 | | r@2.0 |
      | crash loop                          | cut r desk-1 1.0; cut - desk-1 1.4; cut - desk-2 9.9; cut r desk-2 10.0 | 2 | r@10.0 r@609.9 | s@10.0 r@610.1 |
      | second mark for one crash           | cut r desk-1 1.0; cut r desk-1 1.1; cut - desk-1 1.2 | 1 | | r@2.0 |
      | second crash after a quarantine     | mark r 1.0 a; mark r 2.0 b; mark r 700.0 c | 0 | r@1899.9 | r@1900.1 |
      | quarantine without end              | mark r 1.0 a; mark r 2.0 b | 0 | | r@602.1 |
      | memory after twice the quarantine   | mark r 1.0 a; mark r 2.0 b; mark r 1202.1 c | 0 | | r@1202.2 |
      | refusal of a harmless request       | cut r desk-1 1.0; cut - desk-1 1.1; answer r; cut r desk-2 2.0; cut - desk-2 2.1 | 3 | | r@3.0 |
      | mark after an answer                | cut r desk-1 1.0; answer r; cut - desk-1 1.1 | 0 | | r@2.0 |
      | crash loop through several gateways | cut r desk-1 1.0; cut - desk-1 1.1; mark r 1.2 | 1 | r@2.0 | |
      | refusal after an answer elsewhere   | cut r desk-1 1.0; cut - desk-1 1.1; mark r 1.2; clear r | 1 | | r@2.0 |

  # "silent r d1 7 1.0 1.6" sends r at 1.0 s to incarnation 7 of d1, unanswered at 1.6 s;
  # "unanswered d1 2.0 0.9" is a failed check at 2.0 s, when d1 was last heard of at 0.9 s.
  Scenario Outline: Upstreams that go silent: no <failure>
    Given a crash guard with limit 2 and quarantine 600 s
    When the crash guard sees "<events>"
    Then the crash guard sends <marks> marks, refuses "<refused>" and runs "<run>"

    Examples:
      | failure                                | events | marks | refused | run |
      | crash loop                             | silent r d1 7 1.0 1.6; silent r d2 7 1.2 1.6; unanswered d1 2.0 0.9; unanswered d2 2.0 0.9 | 2 | r@2.1 | s@2.1 |
      | crash loop of one upstream             | silent r d1 7 1.0 1.6; unanswered d1 2.0 0.9; silent r d1 8 9.0 9.6; unanswered d1 9.9 8.9 | 2 | r@10.0 | |
      | mark without a failed check            | silent r d1 7 1.0 1.6; silent r d2 7 1.2 1.6 | 0 | | r@2.1 |
      | mark at a slow upstream                | silent r d1 7 1.0 1.6; alive d1; unanswered d1 2.0 0.9 | 0 | | r@2.1 |
      | mark for one lost link                 | silent r d1 7 1.0 1.6; unanswered d1 2.0 1.9 | 0 | | r@2.1 |
      | mark by a check much later             | silent r d1 7 1.0 1.6; unanswered d1 4.7 0.9 | 0 | | r@4.8 |
      | two marks for one frozen upstream      | silent r d1 7 1.0 1.6; unanswered d1 2.0 0.9; silent r d1 7 5.0 5.6; unanswered d1 6.0 0.9 | 1 | | r@6.1 |
      | two marks by two gateways              | silent r d1 7 1.0 1.6; unanswered d1 2.0 0.9; mark r 4.0 silent/d1/7 d1 | 1 | | r@4.1 |
      | mark for a request sent after a crash  | silent r d1 7 1.0 1.6; silent s d1 7 1.6 2.2; unanswered d1 2.3 0.9; silent s d2 7 3.0 3.6; unanswered d2 4.0 0.9 | 2 | | s@4.1 |
      | mark after an answer elsewhere         | silent r d1 7 1.0 1.6; answer r; unanswered d1 2.0 0.9 | 0 | | r@2.1 |

  # "clear r 1.0 a" clears the crash with id a, and "mark r 1.1 a" tells of it.
  Scenario Outline: Marks that arrive late or again: no <failure>
    Given a crash guard with limit 2 and quarantine 600 s
    When the crash guard sees "<events>"
    Then the crash guard sends 0 marks, refuses "<refused>" and runs "<run>"

    Examples:
      | failure                              | events | refused | run |
      | count of a crash before its clear    | clear r 1.0 a; mark r 1.1 a; mark r 1.2 b | | r@2.0 |
      | clear of a crash that it cannot name | mark r 1.0 a; clear r 1.1 a; mark r 1.2 b; mark r 1.3 c | r@2.0 | |
      | second count by another member       | mark r 1.0 a desk-1; mark r 1.4 b desk-1 | | r@2.0 |
      | loss of one upstream's next crash    | mark r 1.0 a desk-1; mark r 4.0 b desk-1 | r@5.0 | |
      | second count of a repeated mark      | mark r 1.0 a; mark r 1.1 a | | r@2.0 |
      | longer quarantine by a repeated mark | mark r 1.0 a; mark r 2.0 b; mark r 500.0 b | r@601.9 | r@602.1 |

  # Guards against members that go on to disagree after lost and reordered messages.
  Scenario: Members agree on the crashes after they have exchanged records
    When 7 members notice crashes and answers while messages are lost, 60x
    Then after exchanges all members count the same crashes in each run

  # Guards against many different requests that exhaust the memory.
  Scenario: Memory is bounded
    Given a crash guard with limit 2 and quarantine 600 s
    When 20000 different requests are cut and marked
    Then the crash guard holds at most 4096 marks and 1024 incidents
