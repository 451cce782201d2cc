"""Steps for the decisions of the data path: matching, retries and crash marks."""

from behave import given, then, when

from banyanshelf_core import crash_guard
from banyanshelf_core.errors import RequestError
from banyanshelf_core.matching import RequestMatcher
from banyanshelf_core.messages import CrashClear, CrashMark
from banyanshelf_core.model import Broadcast
from banyanshelf_core.retry import Failure, RetryBudget, RetryPolicy
from banyanshelf_core.text import Protection, Service, parse_text


@given("a matcher for the text")
def step_matcher(context):
    context.matcher = RequestMatcher.from_text(parse_text(context.text))


@when('"{method} {path}" for host "{host}" is matched')
def step_match(context, method, path, host):
    try:
        context.route = context.matcher.match(host, path, method, {})
    except RequestError as error:
        context.route = error


@then(
    'the route has service "{service}", idempotent {idempotent}, key rule {key} '
    "and {seconds:f} s"
)
def step_route(context, service, idempotent, key, seconds):
    route = context.route
    found = (route.service_name, str(route.idempotent), str(route.require_key))
    assert found == (service, idempotent, key), route
    assert route.timeout_s == seconds


@then("the match fails with status {status:d}")
def step_match_fails(context, status):
    assert isinstance(context.route, RequestError), context.route
    assert context.route.status == status


@given("a retry budget of {share:g}")
def step_budget(context, share):
    context.budget = RetryBudget(share)


@when("{count:d} calls are counted at {now:f} s")
def step_count_calls(context, count, now):
    for _ in range(count):
        context.budget.note_call(now)


@then("{count:d} retries are allowed at {now:f} s")
def step_retries(context, count, now):
    allowed = 0
    while context.budget.try_retry(now):
        allowed += 1
    assert allowed == count, allowed


@given("a retry policy with at most {count:d} attempts")
def step_policy(context, count):
    context.policy = RetryPolicy(Service(max_attempts=count))


@then(
    'a "{failure}" after {attempts:d} attempts is retried: '
    "idempotent {idempotent}, other {other}"
)
def step_retried(context, failure, attempts, idempotent, other):
    found = [
        str(
            context.policy.may_retry(
                Failure(failure), idempotent=kind, attempts=attempts, now=now
            )
        )
        for kind, now in ((True, 1.0), (False, 2.0))
    ]
    assert found == [idempotent, other], found


@when("100 answers take 1 to 100 ms")
def step_answers(context):
    for milliseconds in range(1, 101):
        context.policy.note_answer(milliseconds / 1000)


@then(
    "an idempotent call is hedged after {latest:d} ms at the latest "
    "and {earliest:d} ms at the earliest"
)
def step_hedged(context, latest, earliest):
    delay_s = context.policy.hedge_delay_s(idempotent=True)
    assert earliest / 1000 <= delay_s <= latest / 1000, delay_s


@then("an idempotent call is not hedged")
def step_not_hedged(context):
    assert context.policy.hedge_delay_s(idempotent=True) is None


@then("another call is not hedged")
def step_other_not_hedged(context):
    assert context.policy.hedge_delay_s(idempotent=False) is None


@given("a crash guard with limit {limit:d} and quarantine {seconds:d} s")
def step_guard(context, limit, seconds):
    context.protection = Protection(crash_limit=limit, crash_quarantine_s=seconds)
    context.guard = crash_guard.CrashGuard("gateway-1", "start-1")
    context.effects = []


@when('request "{request}" is cut at "{upstream}" at {now:f} s')
def step_request_cut(context, request, upstream, now):
    context.effects += context.guard.connection_cut(
        upstream, now, context.protection, request
    )


@when('another connection to "{upstream}" is cut at {now:f} s')
def step_connection_cut(context, upstream, now):
    context.effects += context.guard.connection_cut(upstream, now, context.protection)


@when('request "{request}" is answered')
def step_answered(context, request):
    context.effects += context.guard.answered(request)


@when('another member marks "{request}" at {now:f} s')
def step_remote_mark(context, request, now):
    mark = CrashMark(request, "gateway-2/start-1/1")
    context.guard.receive_mark(mark, now, context.protection)


@when('another member clears "{request}"')
def step_remote_clear(context, request):
    context.guard.receive_clear(CrashClear(request))


@when("{count:d} different requests are cut and marked")
def step_flood(context, count):
    for number in range(count):
        upstream = f"desk-{number % 3000}"
        now = float(number)
        context.guard.connection_cut(upstream, now, context.protection, f"r{number}")
        context.guard.connection_cut(upstream, now, context.protection)


@then("no crash mark is sent")
def step_no_mark(context):
    assert context.effects == []


@then('the marks of "{request}" are cleared at the other members')
def step_cleared(context, request):
    assert context.effects[-1] == Broadcast(CrashClear(request)), context.effects


@then('request "{request}" is refused at {now:f} s')
def step_refused(context, request, now):
    assert context.guard.refused_for_s(request, now, context.protection)


@then('request "{request}" is not refused at {now:f} s')
def step_not_refused(context, request, now):
    assert context.guard.refused_for_s(request, now, context.protection) is None


@then("the guard holds at most {marks:d} marks and {incidents:d} incidents")
def step_bounded(context, marks, incidents):
    guard = context.guard
    assert len(guard._marks) <= marks
    assert len(guard._incidents) <= incidents
    assert len(guard._suspects) <= incidents
