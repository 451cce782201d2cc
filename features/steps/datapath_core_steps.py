"""Steps for request matching, retry budgets and the crash guard."""

import random

from behave import given, then, when

from banyanshelf_core.call_messages import CrashClear, CrashMark
from banyanshelf_core.crash_guard import CrashGuard
from banyanshelf_core.crash_records import QuarantineRules
from banyanshelf_core.errors import RequestError
from banyanshelf_core.matching import RequestMatcher
from banyanshelf_core.model import Upstream
from banyanshelf_core.retry import Failure, RetryBudget, RetryPolicy
from banyanshelf_core.text import Protection, Service, parse_text


@given("a matcher for the text")
def step_matcher(context):
    context.matcher_text = context.text
    context.matcher = RequestMatcher.from_text(parse_text(context.text))


@then('"{method} {path}" for host "{host}" matches "{expected}"')
def step_match(context, method, path, host, expected):
    try:
        route = context.matcher.match(host, path, method, {})
        rules = "idempotent " * route.idempotent + "keyed " * route.require_key
        found = f"{route.service_name} {rules}{route.timeout_s}"
    except RequestError as error:
        found = str(error.status)
    assert found == expected, found


@then('a retry budget of {share:g} with {calls:d} calls at 0.5 s allows "{retries}"')
def step_budget(context, share, calls, retries):
    budget = RetryBudget(share)
    for _ in range(calls):
        budget.note_call(0.5)
    for expected, now in (each.split("@") for each in retries.split()):
        allowed = 0
        while budget.try_retry(float(now)):
            allowed += 1
        assert allowed == int(expected), (allowed, now)


@then('"{failure}" after {attempts:d} of 2 attempts is retried: "{expected}"')
def step_retried(context, failure, attempts, expected):
    policy = RetryPolicy(Service(max_attempts=2))
    found = [
        policy.may_retry(Failure(failure), idempotent=kind, attempts=attempts, now=now)
        for kind, now in ((True, 1.0), (False, 2.0))
    ]
    assert f"{found[0]} {found[1]}" == expected, found


@then("idempotent calls only are hedged 77 to 96 ms after answers of 1 to 100 ms")
def step_hedged(context):
    policy = RetryPolicy(Service())
    assert policy.hedge_delay_s(idempotent=True) is None
    for milliseconds in range(1, 101):
        policy.note_answer(milliseconds / 1000)
    assert 0.077 <= policy.hedge_delay_s(idempotent=True) <= 0.096
    assert policy.hedge_delay_s(idempotent=False) is None


@given("a crash guard with limit {limit:d} and quarantine {seconds:d} s")
def step_guard(context, limit, seconds):
    context.protection = Protection(crash_limit=limit, crash_quarantine_s=seconds)
    context.guard = CrashGuard("gateway-1", "start-1")


@when('the crash guard sees "{events}"')
def step_guard_events(context, events):
    guard, protection, context.effects = context.guard, context.protection, []
    for word, request, *rest in (event.split() for event in events.split("; ")):
        match word:
            case "cut":
                fingerprint = None if request == "-" else request
                context.effects += guard.record_connection_cut(
                    rest[0], float(rest[1]), protection, fingerprint
                )
            case "silent":
                name, incarnation, sent_at, ended_at = rest
                upstream = Upstream(
                    name, "s", "a:1", "z", 1, incarnation=int(incarnation)
                )
                guard.record_silence(
                    upstream, request, sent_at=float(sent_at), now=float(ended_at)
                )
            case "unanswered":
                now, heard_at = (float(each) for each in rest)
                context.effects += guard.record_unanswered_check(
                    request, now, protection, heard_at
                )
            case "alive":
                guard.record_upstream_answer(request)
            case "answer":
                context.effects += guard.record_answer(request)
            case "mark":
                crash_id = rest[1] if len(rest) > 1 else "gateway-2/start-1/1"
                mark = CrashMark(request, crash_id, *rest[2:])
                guard.receive_mark(mark, float(rest[0]), protection)
            case "clear":
                now = float(rest[0]) if rest else 0.0
                guard.receive_clear(CrashClear(request, rest[1:]), now, protection)


@then('the crash guard sends {marks:d} marks, refuses "{refused}" and runs "{run}"')
@then('the crash guard sends {marks:d} marks, refuses "" and runs "{run}"')
@then('the crash guard sends {marks:d} marks, refuses "{refused}" and runs ""')
def step_guard_decides(context, marks, refused="", run=""):
    assert len(context.effects) == marks, context.effects
    for expected, requests in ((True, refused), (False, run)):
        for request, now in (each.split("@") for each in requests.split()):
            found = context.guard.refused_for_s(request, float(now), context.protection)
            assert (found is not None) == expected, (request, now, found)


class CrashMembers:
    """Members that notice and clear crashes, and exchange rows with losses."""

    def __init__(self, seed, count):
        self.rng = random.Random(seed)
        self.protection = Protection()
        self.rules = QuarantineRules.from_protection(self.protection)
        self.guards = [CrashGuard(f"g{each}", "s") for each in range(count)]
        self.now = 0.0

    def act(self):
        """Let some member notice a crash or an answer; its message may be lost."""
        self.now += 0.1
        guard = self.rng.choice(self.guards)
        request = self.rng.choice("rst")
        if self.rng.random() < 0.7:
            upstream = f"u{self.rng.randrange(20)}"
            effects = guard.record_connection_cut(
                upstream, self.now, self.protection, request
            ) + guard.record_connection_cut(upstream, self.now, self.protection)
        else:
            effects = guard.record_answer(request)
        for effect in effects:
            for other in self.guards:
                if other is not guard and self.rng.random() < 0.5:
                    self.deliver(other, effect.message)

    def deliver(self, guard, message):
        match message:
            case CrashMark():
                guard.receive_mark(message, self.now, self.protection)
            case CrashClear():
                guard.receive_clear(message, self.now, self.protection)

    def exchange(self):
        """Let a member repeat rows to another one, which corrects it."""
        sender, receiver = self.rng.sample(self.guards, 2)
        rows = sender.records.next_rows(self.now, self.rules, 10)
        corrections = receiver.receive_rows(rows, self.now, self.protection)
        sender.receive_rows(corrections, self.now, self.protection)

    def counts(self):
        return {
            tuple(
                each.records.count(request, self.now, self.rules) for request in "rst"
            )
            for each in self.guards
        }


@when(
    "{members:d} members notice crashes and answers while messages are lost, {runs:d}x"
)
def step_members(context, members, runs):
    context.counts = []
    for seed in range(runs):
        fleet = CrashMembers(seed, members)
        for _ in range(25):
            fleet.act()
        for _ in range(40 * members):
            fleet.exchange()
        context.counts.append(fleet.counts())


@then("after exchanges all members count the same crashes in each run")
def step_members_agree(context):
    differing = [each for each in context.counts if len(each) > 1]
    assert not differing, differing
    assert len({next(iter(each)) for each in context.counts}) > 1, "nothing happened"


@when("{count:d} different requests are cut and marked")
def step_flood(context, count):
    for number in range(count):
        arguments = (f"desk-{number % 3000}", float(number), context.protection)
        context.guard.record_connection_cut(*arguments, f"r{number}")
        context.guard.record_connection_cut(*arguments)


@then("the crash guard holds at most {marks:d} marks and {incidents:d} incidents")
def step_bounded(context, marks, incidents):
    guard = context.guard
    assert len(guard.records) <= marks
    assert max(len(guard._incidents), len(guard._suspects)) <= incidents
