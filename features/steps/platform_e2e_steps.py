"""Steps that run gateway processes against a stand-in of the platform."""

import http.client
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
from functools import partial
from pathlib import Path

from behave import given, then, when

from banyanshelf_bench.control import call_json, send, wait_until
from banyanshelf_bench.processes import FleetProcess

STORE = "127.81.0.1:2400"
CONTROL = "127.81.0.1:2401"
GATEWAYS = ("127.81.1.1", "127.81.1.2")
LIMIT_S = 30.0
COLUMNS = ["host", "prefix", "kind", "timeoutMs", "targetLatencyMs", "service"]
SAFE = ["a.example", "/safe/", "safe", 5000, 2000, "s"]
UNSAFE = ["a.example", "/unsafe/", "unsafe", 5000, 2000, "s"]


def upstream_address(name):
    return f"127.81.2.{name.removeprefix('i-')}:8080"


def upstream_entry(name, state="ready"):
    return {
        "address": upstream_address(name),
        "information": {"service": "s", "version": "v1", "zone": "z", "slots": 3},
        "status": {"state": state, "sequence": 1, "warmupLeftMs": 0},
        "born": 1,
    }


def configuration(version, *routes):
    return {
        "version": version,
        "routes": {"columns": COLUMNS, "rows": list(routes)},
        "services": {"columns": ["name", "healthPath"], "rows": [["s", "/health"]]},
        "limits": {"idleTimeoutMs": 15000},
    }


def settings_text(number, host):
    return f"""
[localNode]
node = "edge-{number}"
ipAddress = "{host}"
zone = "z"
[network]
internalPorts = [7660, 7675]
seeds = ["{GATEWAYS[0]}:8146"]
[network.listen]
front = "{host}:8144"
ready = "{host}:8140"
control = "{host}:8146"
[platform.platform]
address = "{STORE}"
"""


class Site:
    """The stand-in and the gateways of one feature."""

    def __init__(self, folder, upstreams):
        self.folder = Path(folder)
        self.upstreams = upstreams.split()
        listen = ",".join(f"{each}={upstream_address(each)}" for each in self.upstreams)
        self.platform = FleetProcess(
            "platform",
            "banyanshelf_standins.platform_site",
            {"store": STORE, "control": CONTROL, "upstreams": listen},
        )
        self.gateways = []
        for number, host in enumerate(GATEWAYS, 1):
            path = self.folder / f"gateway-{number}.toml"
            path.write_text(settings_text(number, host))
            environment = {"BANYANSHELF_CONFIG": str(path)}
            self.gateways.append(
                FleetProcess(
                    f"gateway-{number}", "banyanshelf_platform", {}, environment
                )
            )
        self.version = 1
        self.requests = 0

    def start(self):
        self.platform.start()
        wait_until(partial(is_answered, CONTROL, "/runs"), "the platform")
        self.write({f"servers/{each}": upstream_entry(each) for each in self.upstreams})
        self.configure(SAFE, UNSAFE)
        for gateway in self.gateways:
            gateway.start()
        self.wait_ready()

    def wait_ready(self):
        for host in GATEWAYS:
            wait_until(partial(is_ready, host), host)

    def reset(self):
        """Undo what a scenario may have changed and wait for both gateways."""
        call_json(
            "POST", CONTROL, "/behaviour", {"store_down": False, "latency_s": 0.01}
        )
        self.write({f"servers/{each}": upstream_entry(each) for each in self.upstreams})
        for gateway in self.gateways:
            if not gateway.running:
                gateway.start()
        self.configure(SAFE, UNSAFE)
        self.wait_ready()
        self.wait_applied()

    def write(self, items):
        call_json("POST", CONTROL, "/items", items)

    def configure(self, *routes):
        self.version += 1
        marker = ["a.example", f"/v{self.version}/", "safe", 5000, 2000, "s"]
        record = configuration(self.version, *routes, marker)
        self.write({"op/config": record})

    def wait_applied(self):
        """Wait until both gateways serve the route of the newest version."""
        version = f"/v{self.version}/"
        for host in GATEWAYS:
            wait_until(partial(self.serves, host, version), f"{version} at {host}")

    def serves(self, host, version):
        return self.request(host, version).status == 200

    def request(self, host, path, method="GET"):
        self.requests += 1
        headers = {
            "Host": "a.example",
            "X-Banyanshelf-Attempt-Id": f"{path}{self.requests}",
            "X-Banyanshelf-Deadline-Milliseconds": "5000",
        }
        return send(method, f"{host}:8144", f"{path}1", headers=headers, timeout_s=10)

    def close(self):
        for process in [*self.gateways, self.platform]:
            process.close()


def is_answered(address, target):
    try:
        return send("GET", address, target).status > 0
    except OSError:
        return False


def is_ready(host):
    try:
        return send("GET", f"{host}:8140", "/-/readiness").status == 200
    except OSError:
        return False


@given('two gateways on a stand-in of the platform with upstreams "{names}"')
def step_site(context, names):
    if not hasattr(context.feature, "site"):
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup, layer="feature")
        site = context.feature.site = Site(folder.name, names)
        context.add_cleanup(site.close, layer="feature")
        site.start()
    context.site = context.feature.site
    context.site.reset()


@given("the platform's upstreams take {seconds:g} s")
def step_latency(context, seconds):
    call_json("POST", CONTROL, "/behaviour", {"latency_s": seconds})


@given("gateways whose log output is not read")
def step_unread_log(context):
    for gateway in context.site.gateways:
        gateway.terminate()
        gateway.wait(LIMIT_S)
        environment = gateway._environment
        gateway.process = subprocess.Popen(
            [sys.executable, "-m", "banyanshelf_platform"],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env=os.environ | environment,
        )
    context.site.wait_ready()


@when('the platform\'s upstream "{name}" drains')
def step_drain(context, name):
    context.runs_before = call_json("GET", CONTROL, "/runs")
    context.site.write({f"servers/{name}": upstream_entry(name, "draining")})
    context.site.configure(SAFE, UNSAFE)


@when("the platform's configuration is replaced by one without the unsafe route")
def step_remove_route(context):
    context.site.configure(SAFE)


@when("both gateways have applied it")
def step_applied(context):
    context.site.wait_applied()
    context.runs_before = call_json("GET", CONTROL, "/runs")


@when("a gateway is killed and started again")
def step_restart(context):
    context.site.gateways[0].kill()
    context.site.gateways[0].start()
    context.site.wait_ready()


@when(
    "the platform's store is copied, changed {count:d} times and comes back from the "
    "copy"
)
def step_restore_store(context, count):
    call_json("POST", CONTROL, "/behaviour", {"saves_copy": True})
    for _ in range(count):
        context.site.configure(SAFE, UNSAFE)
    context.site.wait_applied()
    call_json("POST", CONTROL, "/behaviour", {"restores_copy": True})


@when("the platform's store is down")
def step_store_down(context):
    call_json("POST", CONTROL, "/behaviour", {"store_down": True})


@when("both gateways get SIGHUP")
def step_hup(context):
    for gateway in context.site.gateways:
        gateway.signal(signal.SIGHUP)


@when("a request is in progress at the first gateway and it gets SIGTERM")
def step_term(context):
    site = context.site
    replies = context.replies = []
    request = threading.Thread(
        target=lambda: replies.append(site.request(GATEWAYS[0], "/safe/")),
    )
    before = total_runs()
    request.start()
    wait_until(lambda: total_runs() > before, "the request")
    site.gateways[0].terminate()
    request.join(LIMIT_S)


@when("a connection is idle at the first gateway while a request is in progress")
def step_idle_connection(context):
    site = context.site
    context.idle = socket.create_connection((GATEWAYS[0], 8144), timeout=LIMIT_S)
    # After an answered request, the connection is kept alive.
    context.idle.sendall(b"GET /unknown/ HTTP/1.1\r\nHost: a.example\r\n\r\n")
    assert context.idle.recv(4096).startswith(b"HTTP/1.1 404")
    replies = context.replies = []
    before = total_runs()
    context.request = threading.Thread(
        target=lambda: replies.append(site.request(GATEWAYS[0], "/safe/")),
    )
    context.request.start()
    wait_until(lambda: total_runs() > before, "the request")


@when("the first gateway gets SIGTERM")
def step_first_term(context):
    context.site.gateways[0].terminate()


@then("the idle connection is closed before the request is answered")
def step_idle_closed(context):
    with context.idle:
        assert context.idle.recv(4096) == b""
    assert not context.replies, context.replies
    context.request.join(LIMIT_S)
    assert context.replies[0].status == 200, context.replies
    context.site.gateways[0].wait(LIMIT_S)


def connect_until_refused(worker, answered):
    """Send each request on a new connection until connections are refused."""
    for number in range(1000):
        attempt = f"stop-{worker}-{number}"
        headers = {
            "Host": "a.example",
            "X-Banyanshelf-Attempt-Id": attempt,
            "X-Banyanshelf-Deadline-Milliseconds": "5000",
        }
        address = f"{GATEWAYS[0]}:8144"
        try:
            send("GET", address, "/safe/1", headers=headers, timeout_s=10)
            answered.add(attempt)
        except ConnectionRefusedError:
            return
        except (OSError, http.client.HTTPException):
            continue


@when("the first gateway gets SIGTERM while callers connect one after another")
def step_term_while_connecting(context):
    context.answered = set()
    workers = [
        threading.Thread(target=connect_until_refused, args=(each, context.answered))
        for each in range(6)
    ]
    for worker in workers:
        worker.start()
    context.site.gateways[0].terminate()
    for worker in workers:
        worker.join(LIMIT_S)
    context.site.gateways[0].wait(LIMIT_S)


@then("no request that ran was left without an answer")
def step_none_lost(context):
    runs = call_json("GET", CONTROL, "/runs")
    ran = {
        attempt
        for by_attempt in runs.values()
        for attempt in by_attempt
        if attempt.startswith("stop-")
    }
    assert ran, "no request ran"
    assert ran <= context.answered, ran - context.answered


def total_runs():
    runs = call_json("GET", CONTROL, "/runs")
    return sum(sum(each.values()) for each in runs.values())


@then("the request is answered by an upstream")
def step_request_answered(context):
    [reply] = context.replies
    assert reply.status == 200, reply


@then("the first gateway ends with code {code:d}")
def step_exit_code(context, code):
    assert context.site.gateways[0].wait(LIMIT_S) == code


@then("{count:d} safe requests through each gateway are answered by upstreams")
def step_answered(context, count):
    for host in GATEWAYS:
        for _ in range(count):
            reply = context.site.request(host, "/safe/")
            assert reply.status == 200, reply
            assert "x-banyanshelf-response-signature" in reply.headers, reply


@then('upstream "{name}" has run none of them')
def step_no_runs(context, name):
    runs = call_json("GET", CONTROL, "/runs")
    assert runs[name] == context.runs_before[name]


@then("unsafe requests are answered with {status:d} by both gateways")
def step_unsafe_status(context, status):
    for host in GATEWAYS:
        reply = context.site.request(host, "/unsafe/", "POST")
        assert reply.status == status, reply


@then("the start of the gateway ignores SIGHUP before it imports the gateway")
def step_early_hup(context):
    """Run the start script with a module that replaces the gateway's."""
    with tempfile.TemporaryDirectory() as folder:
        script = Path(folder, "platform", "run.py")
        package = Path(folder, "target", "app", "banyanshelf_platform")
        script.parent.mkdir()
        package.mkdir(parents=True)
        script.write_text(Path("platform/run.py").read_text())
        (package / "main.py").write_text(
            "import signal\n"
            "print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)\n"
            "run = int\n"
        )
        command = [sys.executable, "-S", str(script)]
        environment = {"PATH": os.environ["PATH"]}
        result = subprocess.run(
            command, capture_output=True, text=True, env=environment
        )
        assert result.stdout.strip() == "True", result


@then('the start of the gateway leaves "{modules}" unloaded')
def step_unloaded(context, modules):
    program = (
        "import runpy, sys\n"
        "runpy.run_path('platform/run.py', run_name='start')\n"
        "from twisted.internet import reactor\n"
        "from banyanshelf_platform import gateway\n"
        f"print([each for each in {modules.split()!r} if each in sys.modules])\n"
    )
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]", result.stdout


@then("both gateways run")
def step_run(context):
    assert all(gateway.running for gateway in context.site.gateways)


@then("{count:d} unsafe requests have run once each")
def step_once(context, count):
    for number in range(count):
        reply = context.site.request(GATEWAYS[number % 2], "/unsafe/", "POST")
        assert reply.status == 200, reply
    runs = call_json("GET", CONTROL, "/runs")
    counts = [
        count
        for by_attempt in runs.values()
        for attempt, count in by_attempt.items()
        if attempt.startswith("/unsafe/")
    ]
    assert counts and set(counts) == {1}, counts


@then("the metrics pages count at least {count:d} calls and as many times")
def step_metrics(context, count):
    for host in GATEWAYS:
        lines = send("GET", f"{host}:9464", "/metrics").body.decode().splitlines()
        value_by_name = dict(line.rsplit(" ", 1) for line in lines if line[0] != "#")
        calls = value_by_name['banyanshelf_events_total{name="call.s.count"}']
        times = value_by_name['banyanshelf_time_seconds_count{name="call.s.time"}']
        assert float(calls) >= count, calls
        assert float(times) >= count, times
