"""Steps that send a crowd of large requests to one real gateway process."""

import tempfile
from functools import partial

from behave import given, then, when
from client_crowd import COMPLETE_CLIENTS, Crowd, peak_resident_bytes, wire_parts
from platform_e2e_steps import (
    CONTROL,
    GATEWAYS,
    SAFE,
    UNSAFE,
    Site,
    configuration,
    is_ready,
)

from banyanshelf_bench.control import call_json, send, wait_until
from banyanshelf_bench.deployments import UMUJYI
from banyanshelf_bench.fleet import running_fleet

BODY_BYTES = 4 * 1024 * 1024
# Bodies stay at the upstreams for this long, so that the gateway holds many at once.
WORK_S = 1.0
REQUEST_LIMIT_S = 30.0
NEVER_COMPLETE = {
    "announced bodies far over the limit",
    "endless chunks",
    "heads that stop short",
}


class LimitedSite(Site):
    """A site whose first gateway is on a small machine."""

    def __init__(self, folder, upstreams, memory_mb, descriptors):
        super().__init__(folder, upstreams)
        self.body_bytes = BODY_BYTES
        with (self.folder / "gateway-1.toml").open("a") as settings:
            settings.write(
                f"[localNode.limits]\nmemoryMb = {memory_mb}\n"
                f"fileDescriptors = {descriptors}\n"
            )

    def configure(self, *routes):
        self.version += 1
        marker = ["a.example", f"/v{self.version}/", "safe", 5000, 2000, "s"]
        record = configuration(self.version, *routes, marker)
        record["limits"]["bodyBytes"] = self.body_bytes
        self.write({"op/config": record})


class PlatformTarget:
    """The first gateway of a site of the platform."""

    address = f"{GATEWAYS[0]}:8144"
    head = (
        b"POST /unsafe/%d HTTP/1.1\r\nHost: a.example\r\n"
        b"X-Banyanshelf-Attempt-Id: crowd-%d\r\n"
        b"X-Banyanshelf-Deadline-Milliseconds: 5000\r\n"
    )

    def __init__(self, site):
        self.site = site
        self.process = site.gateways[0]

    def restart(self):
        """Start anew, so that the peak of the memory is that of one scenario."""
        self.process.kill()
        self.process.start()
        self.site.body_bytes = BODY_BYTES
        wait_until(partial(is_ready, GATEWAYS[0]), GATEWAYS[0])
        self.site.configure(SAFE, UNSAFE)
        self.site.wait_applied()
        call_json("POST", CONTROL, "/behaviour", {"latency_s": WORK_S})

    def request(self):
        """Send one ordinary request."""
        return self.site.request(GATEWAYS[0], "/safe/")


class DaemonTarget:
    """The only daemon of a local fleet."""

    head = (
        b"POST /search/%d HTTP/1.1\r\nHost: desk.umujyi.example\r\n"
        b"Echo-Token: crowd-%d\r\nWork-Ms: 1000\r\n"
    )

    def __init__(self, fleet):
        self.fleet = fleet
        [self.name] = fleet.daemon_ids
        self.process = fleet.processes_by_id[self.name]
        self.address = fleet.caller_address(self.name)

    def restart(self):
        """Start anew, so that the peak of the memory is that of one scenario."""
        self.process.kill()
        self.fleet.restart_daemon(self.name)
        wait_until(lambda: self.request().status == 200, "the first answer")

    def request(self):
        """Send one ordinary request."""
        fields = {"Host": UMUJYI.host("catalogue"), "Echo-Token": "ordinary"}
        return send("GET", self.address, "/items", b"", fields, REQUEST_LIMIT_S)


@given(
    "a gateway with {memory_mb:d} MB and {descriptors:d} descriptors on a stand-in of "
    "the platform"
)
def step_platform(context, memory_mb, descriptors):
    if not hasattr(context.feature, "target"):
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup, layer="feature")
        site = LimitedSite(folder.name, "i-1 i-2 i-3", memory_mb, descriptors)
        context.add_cleanup(site.close, layer="feature")
        site.start()
        context.feature.target = PlatformTarget(site)
    context.target = context.feature.target
    context.target.restart()


@given("a local fleet of one daemon with at most {connections:d} connections")
def step_daemon(context, connections):
    if not hasattr(context.feature, "target"):
        flags = {"max_body_bytes": BODY_BYTES, "max_connections": connections}
        shape = UMUJYI.shape(1, upstreams=2, timeout_ms=5000, daemon_flags=flags)
        manager = running_fleet(shape)
        fleet = manager.__enter__()
        context.add_cleanup(manager.__exit__, None, None, None, layer="feature")
        context.feature.target = DaemonTarget(fleet)
    context.target = context.feature.target
    context.target.restart()


@given("a limit of {size:d} bytes on bodies")
def step_body_limit(context, size):
    context.target.site.body_bytes = size
    context.target.site.configure(SAFE, UNSAFE)
    context.target.site.wait_applied()


@when("one client sends a body of {size:d} bytes")
def step_one_body(context, size):
    target = context.target
    parts = wire_parts("whole bodies", target.head % (1, 1), size, is_complete=True)
    context.crowd = Crowd(target.address, target.process.process.pid, [parts], "one")
    context.add_cleanup(context.crowd.close)
    context.crowd.send_all(1)


@then("its request is answered with {status:d}")
def step_one_answer(context, status):
    [client] = context.crowd.clients
    assert client.answer.startswith(f"HTTP/1.1 {status}".encode()), client.answer


@when("{count:d} clients send {kind}")
def step_crowd(context, count, kind):
    target = context.target
    is_whole = kind in ("whole bodies", "bodies in pieces")
    complete = count if is_whole else COMPLETE_CLIENTS
    if kind in NEVER_COMPLETE:
        complete = 0
    parts_by_client = [
        wire_parts(kind, target.head % (number, number), BODY_BYTES, number < complete)
        for number in range(count)
    ]
    crowd = Crowd(target.address, target.process.process.pid, parts_by_client, kind)
    context.add_cleanup(crowd.close)
    context.crowd = crowd
    crowd.send_all(complete)


@then("an ordinary request is answered")
def step_answered(context):
    answer = context.target.request()
    assert answer.status == 200, (answer.status, answer.body)


@then(
    "the process lives, and has used at most {memory_mb:d} MB and {descriptors:d} "
    "descriptors"
)
def step_bounded(context, memory_mb, descriptors):
    process = context.target.process
    assert process.running, process.output_tail()
    peak_mb = peak_resident_bytes(process.process.pid) / 1e6
    seen = f"{peak_mb:.0f} MB, {context.crowd.descriptors} descriptors"
    print(seen)
    assert peak_mb <= memory_mb, seen
    assert context.crowd.descriptors <= descriptors, seen
