"""Steps for the host list with first-hand notices, on a simulated reactor."""

from behave import given, then, when
from daemon_group import DaemonGroup
from simulated_host_list import FakeHostList

from banyanshelf_core.messages import UpstreamNotice


@given("{count:d} daemons with a host list of {hosts}")
def step_daemons(context, count, hosts):
    context.fleet = DaemonGroup(FakeHostList)
    for host in hosts.split(" and "):
        context.fleet.hosts.set_host(host, "live")
    for number in range(1, count + 1):
        context.fleet.start(number)
    context.fleet.reactor.run_for(2.0)


def directory(context, number):
    return context.fleet.daemons[f"gateway-{number}"].directory


@when('daemon {number:d} reports that "{host}" is leaving')
def step_report(context, number, host):
    directory(context, number).report_leaving(host, "drain signal")
    context.fleet.reactor.run_for(0.1)


@when('the host list gives "{host}" as {state}')
def step_list(context, host, state):
    context.fleet.hosts.set_host(host, state)
    context.fleet.reactor.run_for(0.1)


@when("the host list does not answer for {seconds:d} seconds")
def step_down(context, seconds):
    agent = context.fleet.hosts.agent
    agent.is_down = True
    context.asked = len(agent.request_times)
    context.fleet.reactor.run_for(seconds)
    context.asked = len(agent.request_times) - context.asked
    agent.is_down = False


@when("the daemons of the host list run for {seconds:g} seconds")
def step_run(context, seconds):
    context.asked = len(context.fleet.hosts.agent.request_times)
    context.fleet.reactor.run_for(seconds)
    context.asked = len(context.fleet.hosts.agent.request_times) - context.asked


@when("daemon {number:d} joins the daemons of the host list")
def step_join(context, number):
    context.fleet.start(number)
    context.fleet.reactor.run_for(2.0)


@when('a late copy of the notice about "{host}" reaches daemon {number:d}')
def step_late(context, host, number):
    origin = directory(context, 1)
    sequence = origin._sequence  # noqa: SLF001
    notice = UpstreamNotice(host, "leaving", sequence, "gateway-1")
    directory(context, number)._on_notice("gateway-1", notice)  # noqa: SLF001


@then('every daemon sees "{host}" as {state}')
def step_state(context, host, state):
    for daemon in context.fleet.daemons.values():
        upstreams = daemon.directory.upstreams_by_id("desk")
        found = upstreams[host].state.value if host in upstreams else "gone"
        assert found == state, (daemon.id, found)


@then("the host list was asked at most {count:d} times")
def step_asked(context, count):
    assert context.asked <= count, context.asked


@then("every daemon still asks the host list")
def step_asks(context):
    assert context.asked >= len(context.fleet.daemons)
