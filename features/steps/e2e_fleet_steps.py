"""Steps that start a small fleet per feature and disturb its processes."""

import threading
import time

from behave import given, then, when

from banyanshelf_bench.control import call_json, wait_until
from banyanshelf_bench.deployments import UMUJYI
from banyanshelf_bench.fleet import running_fleet

LIMIT_S = 60.0


def daemon_name(number):
    return f"gateway-{number}"


def start_fleet(context, daemons, upstreams, timeout_ms=2000, **flags):
    """Start the feature's fleet once; it ends after the last scenario."""
    if hasattr(context.feature, "fleet"):
        context.fleet = context.feature.fleet
        return
    shape = UMUJYI.shape(
        daemons=daemons,
        upstreams=upstreams,
        timeout_ms=timeout_ms,
        backend_flags=flags,
    )
    manager = running_fleet(shape)
    context.feature.fleet = context.fleet = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None, layer="feature")
    context.fleet.wait_for_shards()


@given("a local fleet of {daemons:d} daemons with {upstreams:d} upstreams per service")
def step_fleet(context, daemons, upstreams):
    start_fleet(context, daemons, upstreams)


@given(
    "a local fleet of {daemons:d} daemons with {upstreams:d} upstreams per service "
    "and a time limit of {timeout_ms:d} ms",
)
def step_fleet_with_limit(context, daemons, upstreams, timeout_ms):
    start_fleet(context, daemons, upstreams, timeout_ms)


def service_backends(context, service):
    return [item.id for item in context.fleet.shape.backends if item.service == service]


@given('upstream "{upstream}" works {factor:d} times slower')
def step_slower(context, upstream, factor):
    context.fleet.set_behavior(upstream, straggle_factor=factor)


@given("the local store refuses connections")
@when("the local store refuses connections")
def step_store_refuses(context):
    context.fleet.set_store_faults(outage="refuse")


@given("the local store loses the answers of its next {count:d} writes")
def step_store_loses(context, count):
    context.fleet.set_store_faults(lose_answers=count)


@when("the local store answers again")
def step_store_back(context):
    context.fleet.set_store_faults(outage="off")


@given("the local host list lags by {seconds:d} seconds")
def step_host_list_lag(context, seconds):
    context.fleet.set_host_list_lag(seconds)


@when('upstream "{upstream}" signals that it drains')
def step_upstream_drains(context, upstream):
    context.fleet.set_behavior(upstream, draining=True)
    context.fleet.state_by_backend[upstream] = "leaving"
    context.fleet.publish_hosts()


@when('upstream "{upstream}" is stopped as planned')
def step_upstream_stopped(context, upstream):
    context.fleet.processes_by_id[upstream].terminate()


@then('upstream "{upstream}" ends with exit code {code:d}')
def step_upstream_exit(context, upstream, code):
    assert context.fleet.processes_by_id[upstream].wait(LIMIT_S) == code


@when('no new work starts at upstream "{upstream}" within {limit:d} seconds')
@then('no new work starts at upstream "{upstream}" within {limit:d} seconds')
def step_no_new_work(context, upstream, limit):
    """Wait for half a second in which no call started there."""
    seen = {"started": -1}

    def quiet():
        started = context.fleet.backend_statistics(upstream)["started"]
        same = started == seen["started"]
        seen["started"] = started
        return same

    wait_until(quiet, f"no new work at {upstream}", limit, poll_s=0.5)


@then('every daemon names the same coordinator of service "{service}"')
def step_same_coordinator(context, service):
    wanted = {context.fleet.coordinator(service)}

    def seen():
        statuses = [context.fleet.try_status(item) for item in context.fleet.daemon_ids]
        return {status.get("coordinators", {}).get(service) for status in statuses}

    wait_until(lambda: seen() == wanted, f"coordinator {wanted}", LIMIT_S)


@when('the daemon that coordinates service "{service}" is killed')
def step_kill_coordinator(context, service):
    context.killed = context.fleet.coordinator(service)
    context.fleet.processes_by_id[context.killed].kill()


@when('the daemon that coordinates service "{service}" is paused for {seconds:d} s')
def step_pause_coordinator(context, service, seconds):
    process = context.fleet.processes_by_id[context.fleet.coordinator(service)]
    process.pause()
    time.sleep(seconds)
    process.resume()


@when("the killed daemon is started again")
def step_start_killed(context):
    context.fleet.restart_daemon(context.killed)


@when("daemon {number:d} is killed and started again")
def step_restart_killed(context, number):
    context.fleet.processes_by_id[daemon_name(number)].kill()
    context.fleet.restart_daemon(daemon_name(number))


@when("daemon {number:d} is stopped as planned")
def step_daemon_stopped(context, number):
    context.fleet.processes_by_id[daemon_name(number)].terminate()


@then("daemon {number:d} ends with exit code {code:d}")
def step_daemon_exit(context, number, code):
    name = daemon_name(number)
    seen = context.fleet.processes_by_id[name].wait(LIMIT_S)
    assert seen == code, context.fleet.describe(name, "ended")


@when("daemon {number:d} is started again")
def step_daemon_started(context, number):
    context.fleet.restart_daemon(daemon_name(number))


@when("every daemon is stopped as planned and started again, one after another")
def step_rolling_restart(context):
    context.exit_codes = []
    for name in context.fleet.daemon_ids:
        process = context.fleet.processes_by_id[name]
        process.terminate()
        context.exit_codes.append(process.wait(LIMIT_S))
        context.fleet.restart_daemon(name)


@then("every planned stop ended with exit code {code:d}")
def step_exit_codes(context, code):
    assert set(context.exit_codes) == {code}, context.exit_codes


@given("crashed upstreams are started again at once")
def step_supervise(context):
    """Restart crashed backend servers until the scenario ends."""
    stop = threading.Event()
    context.crashes = []

    def supervise():
        while not stop.wait(0.2):
            for name in context.fleet.backend_ids:
                if not context.fleet.processes_by_id[name].running:
                    context.crashes.append(name)
                    # Refuses connections long enough to be told from a cut one.
                    time.sleep(0.8)
                    context.fleet.restart_backend(name)

    thread = threading.Thread(target=supervise, daemon=True)
    thread.start()

    def finish():
        stop.set()
        thread.join()

    context.add_cleanup(finish)


@then("at most {limit:d} upstreams have crashed")
def step_crashes(context, limit):
    assert len(context.crashes) <= limit, context.crashes


@when("the local store is replaced by one that holds an older text")
def step_stale_store(context):
    store = context.fleet.processes_by_id["store"]
    store.kill()
    store.start()
    wait_until(lambda: store_answers(context), "store answers", LIMIT_S)
    context.fleet.commit(UMUJYI.operators_text("random"))


def store_answers(context):
    try:
        call_json("GET", context.fleet.store_control, "/stats")
    except Exception:
        return False
    return True
