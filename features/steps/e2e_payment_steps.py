"""Steps about payments that must run at most once in a local fleet."""

from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from e2e_call_steps import call

from banyanshelf_bench.control import wait_until
from banyanshelf_bench.deployments import UMUJYI

BODY = b'{"commission": 17, "amount": 45000}'


def pay(context, daemon, key, body=BODY, work_ms=20):
    return call(
        context,
        daemon,
        "desk",
        UMUJYI.payment_path,
        "POST",
        body,
        token=key,
        Idempotency_Key=key,
        Work_Ms=str(work_ms),
        Content_Type="application/json",
    )


def runs_of(context, key):
    return sum(
        context.fleet.backend_statistics(name)["runs_by_key"].get(key, 0)
        for name in context.fleet.backend_ids
    )


@when('payment "{key}" is sent through daemon {daemon:d}')
def step_pay(context, key, daemon):
    context.reply, context.result = pay(context, daemon, key)
    context.paid = [*getattr(context, "paid", []), context.reply]


@when('payment "{key}" with another body is sent through daemon {daemon:d}')
def step_pay_other_body(context, key, daemon):
    context.reply, context.result = pay(context, daemon, key, b'{"amount": 1}')


@when('payment "{key}" is sent through daemons {first:d} and {second:d} at once')
def step_pay_twice(context, key, first, second):
    with ThreadPoolExecutor(2) as pool:
        answers = [
            pool.submit(pay, context, n, key, BODY, 300) for n in (first, second)
        ]
        context.paid = [answer.result()[0] for answer in answers]


@when("{count:d} other payments are sent through all daemons")
def step_pay_others(context, count):
    daemons = len(context.fleet.daemon_ids)
    with ThreadPoolExecutor(8) as pool:
        replies = list(
            pool.map(
                lambda n: pay(context, n % daemons + 1, f"other-{n}", work_ms=5)[0],
                range(count),
            ),
        )
    refused = [reply for reply in replies if reply.status != 200]
    assert not refused, (len(refused), refused[:3])


@then('payment "{key}" ran {count:d} time')
@then('payment "{key}" ran {count:d} times')
def step_runs(context, key, count):
    seen = runs_of(context, key)
    assert seen == count, (seen, context.paid)


@then('payment "{key}" ran at most once')
def step_runs_once(context, key):
    seen = runs_of(context, key)
    assert seen <= 1, (seen, context.paid)


@then("all payers got the same answer")
def step_same_answer(context):
    assert {reply.status for reply in context.paid} == {200}, context.paid
    assert len({reply.body for reply in context.paid}) == 1, context.paid


@given(
    '{count:d} payments "{name}" of {work_ms:d} ms '
    "are running through daemon {daemon:d}",
)
def step_running(context, count, name, work_ms, daemon):
    """Start payments whose keys belong to shards of several owners."""
    context.fleet.wait_for_shards()
    context.keys = [f"{name}-{number}" for number in range(count)]
    pool = ThreadPoolExecutor(count)
    context.add_cleanup(pool.shutdown)
    context.running = [
        pool.submit(pay, context, daemon, key, BODY, work_ms) for key in context.keys
    ]

    def all_run():
        ended = [each.result() for each in context.running if each.done()]
        assert not ended, ended
        return all(runs_of(context, key) == 1 for key in context.keys)

    wait_until(all_run, f"{name} run", 30.0)


@when("daemon {number:d}, which owns some of their keys, is killed")
def step_kill_owner(context, number):
    context.fleet.processes_by_id[f"gateway-{number}"].kill()


@when("daemon {number:d}, which owns some of their keys, is paused")
def step_pause_owner(context, number):
    context.fleet.processes_by_id[f"gateway-{number}"].pause()


@when("the paused daemon {number:d} goes on")
def step_resume_owner(context, number):
    context.fleet.processes_by_id[f"gateway-{number}"].resume()


@when("the running payments are answered")
def step_answered(context):
    context.paid = [answer.result()[0] for answer in context.running]


@then("the callers were told nothing false about them")
def step_nothing_false(context):
    """Check that no payer of a payment that ran was told that it was not run."""
    bodies = [reply.body for reply in context.paid if reply.status != 200]
    assert not [body for body in bodies if b"not_run" in body], bodies


@when("they are sent again through daemon {daemon:d} until they are decided")
def step_again(context, daemon):
    """Repeat the payments as customers would, until they are answered for good."""
    for key in context.keys:
        wait_until(
            lambda key=key: pay(context, daemon, key)[0].status not in (409, 503),
            f"{key} is decided",
            30.0,
            poll_s=0.5,
        )


@then("each of them ran {count:d} time")
def step_each_ran(context, count):
    runs = {key: runs_of(context, key) for key in context.keys}
    assert set(runs.values()) == {count}, runs


@when('payment "{key}" is sent through daemon {daemon:d} until it is paid')
def step_until_paid(context, key, daemon):
    def paid():
        context.paid = [pay(context, daemon, key)[0]]
        return context.paid[0].status == 200

    wait_until(paid, f"{key} is paid", 30.0, poll_s=0.5)
