"""Steps for the keys of workspaces under load."""

from behave import then, when
from datapath_support import TEXT, new_text, split_answers, workspaces_text

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@when(
    '{count:d} callers of workspaces "{kept}" and "{removed}" wait and the key of '
    '"{other}" is taken away'
)
def step_waiting_callers(context, count, kept, removed, other):
    path = context.path
    active = path.collaborators.active
    active.return_value = new_text(TEXT + workspaces_text(f"{kept}=k-1 {removed}=k-2"))
    path.permits.is_holding_back = True
    context.callers_by_key = {"k-1": [], "k-2": []}
    for number in range(count):
        key = f"k-{number % 2 + 1}"
        caller = path.connect_caller()
        context.callers_by_key[key].append(caller)
        head = "GET /a HTTP/1.1\r\nHost: desk.example\r\n"
        path.send(caller, f"{head}Banyanshelf-Workspace-Key: {key}\r\n\r\n".encode())
    active.return_value = new_text(TEXT + workspaces_text(f"{kept}=k-1 {other}="))
    path.permits.grant_held()
    path.settle()


@then(
    'the {count:d} requests of "{kept}" are answered 200, and those of "{removed}" 401 '
    "without a run"
)
def step_queue_outcome(context, count, kept, removed):
    path = context.path
    while waiting := path.waiting():
        for transport in waiting:
            request = transport.value()
            assert f"Banyanshelf-Workspace: {kept}\r\n".encode() in request, request
            path.answer(transport, ANSWER)
    for key, status in (("k-1", 200), ("k-2", 401)):
        found = [
            split_answers(each.value())[-1][0] for each in context.callers_by_key[key]
        ]
        assert found == [status] * count, (key, found)
