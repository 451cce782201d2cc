Feature: Requests are admitted by the keys of their workspaces

  # Each row names the failure that it guards against.
  Scenario Outline: No <failure>
    Given a data path with upstream_count=1
    When these data path events happen: "<events>"
    Then the data path shows "<checks>"

    Examples:
      | failure                                | events | checks |
      | run without a key                      | keys one=k-1 >> GET /a | answer 401 not_run; sent 0; header WWW-Authenticate=Banyanshelf-Workspace-Key |
      | run with an unknown key                | keys one=k-1 >> with Banyanshelf-Workspace-Key: k-9 >> GET /a | answer 401 not_run; sent 0 |
      | run with two keys                      | keys one=k-1 two=k-2 >> with Banyanshelf-Workspace-Key: k-1\r\nBanyanshelf-Workspace-Key: k-2 >> GET /a | answer 401 not_run; sent 0 |
      | run of an empty table's request        | keys >> with Banyanshelf-Workspace-Key: k-1 >> GET /a | answer 401 not_run; sent 0 |
      | 401 where no keys are needed           | GET /a >> 200 ok | answer 200 ok; got_not Banyanshelf-Workspace |
      | 401 for an unknown host                | keys one=k-1 >> bytes GET /a HTTP/1.1\r\nHost: other.example\r\n\r\n | answer 404 not_run; sent 0 |
      | key that is passed on                  | keys one=k-1 >> with Banyanshelf-Workspace-Key: k-1 >> GET /a >> 200 ok | answer 200 ok; got_not k-1; got Banyanshelf-Workspace: one; workspaces one |
      | workspace that the caller chose        | keys one=k-1 >> with Banyanshelf-Workspace-Key: k-1\r\nBANYANSHELF-Workspace: two\r\nBanyanshelf_Workspace: two\r\nbanyanshelf_workspace_key: x-9 >> GET /a >> 200 ok | got_not two; got_not x-9; got Banyanshelf-Workspace: one |
      | chosen workspace where there are none  | with Banyanshelf-Workspace: two >> GET /a >> 200 ok | got_not two |
      | key in the log                         | keys one=secret-1 >> with Banyanshelf-Workspace-Key: secret-1 >> GET /a >> 200 ok >> with Banyanshelf-Workspace-Key: secret-9 >> GET /a | sent 1; log_without secret |
      | old key on an open connection          | keys one=k-1 >> with Banyanshelf-Workspace-Key: k-1 >> GET /a >> 200 ok >> keys one=k-2 >> GET /a | answer 401 not_run; sent 1 |
      | refusal of a new key on a connection   | keys one=k-1 >> with Banyanshelf-Workspace-Key: k-2 >> GET /a >> keys one=k-1,k-2 >> GET /a >> 200 ok | answer 200 ok; sent 1 |
      | old key of a waiting request           | keys one=k-1 >> with Banyanshelf-Workspace-Key: k-1 >> hold_permits >> GET /a >> keys one=k-2 >> grant | answer 401 not_run; sent 0; released cancelled |
      | old key of a waiting unsafe request    | keys one=k-1 >> with Banyanshelf-Workspace-Key: k-1 >> hold_permits >> POST /a >> keys one= >> grant | answer 401 not_run; sent 0; released cancelled |
      | former workspace of a waiting request  | keys one=k-1 two= >> with Banyanshelf-Workspace-Key: k-1 >> hold_permits >> GET /a >> keys one= two=k-1 >> grant >> 200 ok | answer 200 ok; got Banyanshelf-Workspace: two; workspaces one two; draws True; released cancelled answered |
      | priority of a former workspace         | keys one=k-1@2 two= >> with Banyanshelf-Workspace-Key: k-1 >> hold_permits >> GET /a >> keys one=@2 two=k-1 >> grant >> 200 ok | answer 200 ok; priorities 2 0 |
      | priority of the route for a workspace's own | keys one=k-1@3 >> with Banyanshelf-Workspace-Key: k-1 >> GET /a >> 200 ok | priorities 3 |
      | refusal after a change is taken back   | keys one=k-1 >> with Banyanshelf-Workspace-Key: k-1 >> hold_permits >> GET /a >> keys one= >> keys one=k-1 >> grant >> 200 ok | answer 200 ok; workspaces one |
      | key that becomes needed while waiting  | hold_permits >> GET /a >> keys one=k-1 >> grant | answer 401 not_run; sent 0 |

  # Guards against a second run of a request whose key was taken away after the first.
  Scenario: A request is not sent again after its key was taken away
    Given a data path with upstream_count=2
    When these data path events happen: "keys one=k-1 >> with Banyanshelf-Workspace-Key: k-1 >> GET /a >> keys one= >> cut"
    Then the data path shows "answer 401 unknown; sent 1"

  # Guards against an answer of one workspace that another one gets with the same
  # idempotency key.
  Scenario: Claims of two workspaces are separate
    Given a data path with upstream_count=1
    When these data path events happen: "keys one=k-1 two=k-2 >> with Idempotency-Key: a\r\nBanyanshelf-Workspace-Key: k-1 >> POST /payments >> 200 ok >> with Idempotency-Key: a\r\nBanyanshelf-Workspace-Key: k-2 >> POST /payments >> 200 ok"
    Then the data path shows "claims 2"

  # Guards against a server's own call that is refused, as servers hold no keys, and that
  # loses the workspace of the request that it serves.
  Scenario: Calls of backend servers need no key and keep their workspace
    Given a data path with upstream_count=1, trusted=True
    When these data path events happen: "keys one=k-1 >> with Banyanshelf-Depth: 1\r\nBanyanshelf-Workspace: one >> GET /a >> 200 ok"
    Then the data path shows "answer 200 ok; got Banyanshelf-Workspace: one; workspaces one"

  # Guards against a queue of requests that reach upstreams although their key was taken
  # away while they waited, and against the loss of the others.
  Scenario: Under load, the requests of a removed key leave the queue without a run
    Given a data path with upstream_count=3
    When 400 callers of workspaces "one" and "two" wait and the key of "two" is taken away
    Then the 200 requests of "one" are answered 200, and those of "two" 401 without a run
