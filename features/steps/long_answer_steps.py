"""Steps that bring events about in every order after a long answer has begun."""

from itertools import permutations

from behave import then, when
from call_steps import step_events
from datapath_support import DataPath

HEDGE_DELAY_S = 0.01
LENGTH = 400_000
BEGUN = 300_000
# All calls have ended by then, whatever has happened.
LONGEST_S = 40
EVENTS = (
    "expected_late",
    "wait 0.02",
    "grant",
    "others_mark GET",
    "drain",
    "shutdown",
    "gone",
    "pause",
    "read",
    "part",
    "rest",
    "rest_and_more",
    "cut_long",
    "wait 2.1",
)
PARTS = {"part": b"y" * 1000, "rest": b"y" * (LENGTH - BEGUN)}
PARTS["rest_and_more"] = (
    PARTS["rest"] + b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nz"
)


class _Run:
    """A data path with one call whose long answer has begun."""

    def __init__(self, request):
        self.path = DataPath(upstream_count=3)
        self.path.permits.hedge_after_s = HEDGE_DELAY_S
        self.caller = self.path.connect_caller()
        self.headers = b""
        step_events(self, f"{request} >> hold_permits >> expected_late")
        step_events(self, f"begin_long {LENGTH}")
        self.upstream = self.long_transport
        self.received = BEGUN

    def bring_about(self, event):
        if event in PARTS and self.upstream.is_closed:
            return
        if event in PARTS:
            if self.received + len(PARTS[event]) <= LENGTH or event != "part":
                self.received += len(PARTS[event])
                self.path.send(self.upstream, PARTS[event])
        elif event == "cut_long":
            self.upstream.cut()
            self.path.settle()
        else:
            step_events(self, event)

    def assert_one_answer(self):
        """Check what the caller and the upstreams got, and that nothing is left."""
        head, _, body = self.caller.value().partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 "), head
        assert body == b"y" * len(body), body.strip(b"y")[:80]
        assert len(body) <= LENGTH, len(body)
        assert len(body) == LENGTH or self.caller.is_closed
        sent = sum(len(each.history) for each in self.path.upstream_transports)
        assert sent == 1, sent
        assert not self.path.factory.calls_in_progress
        assert self.path.permits.granted == len(self.path.permits.released)


@when(
    'each order of {count:d} events follows the start of a long answer to "{request}"'
)
def step_orders(context, count, request):
    context.runs = 0
    for events in permutations(EVENTS, count):
        run = _Run(request)
        try:
            for event in events:
                run.bring_about(event)
            run.path.settle(LONGEST_S)
            run.path.settle(LONGEST_S)
            run.assert_one_answer()
        except Exception as error:
            raise AssertionError(f"{events}: {error!r}") from error
        context.runs += 1


@then("each caller has got the bytes of one answer, whole or cut, from one upstream")
def step_all(context):
    assert context.runs > 0
