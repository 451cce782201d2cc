"""Schema of the operators' text.

The text is TOML. Example::

    [services.desk]
    hosts = ["desk.umujyi.example"]
    slots_per_upstream = 3
    depends_on = ["catalogue"]

    [[services.desk.routes]]
    path_prefix = "/payments"
    methods = ["POST"]
    require_key = true

"""

from __future__ import annotations

import tomllib
from itertools import product
from typing import Literal

import msgspec

from banyanshelf_core.errors import TextError
from banyanshelf_core.request_target import (
    has_dot_segments,
    host_name,
    normalize_path,
)
from banyanshelf_core.workspace_text import check_workspaces

PolicyName = Literal["permits", "random", "two_choices", "reports", "shared_load"]


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Exception to a service's rules for some paths and methods.

    Without ``idempotent``, the HTTP method decides. With ``require_key``,
    non-idempotent calls without an idempotency key are refused.
    """

    path_prefix: str = "/"
    methods: list[str] = []
    idempotent: bool | None = None
    require_key: bool = False
    timeout_ms: int | None = None


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A group of interchangeable upstreams and the rules for calls to it.

    Times are in milliseconds. ``slots_per_upstream`` limits the slots that the host
    list gives. ``retry_share`` is the fraction of recent calls that may be retried or
    hedged; each daemon may make ``spare_retries`` in 10 s beyond it, by default one a
    second. ``probe_path`` takes precedence over that of ``measuring``.
    ``caller_weights`` are the weights of calling services in sharing this service;
    other callers have a weight of 1. A cold upstream takes at most
    ``cold_requests_per_s`` from all gateways together, for ``cold_s`` after its start;
    0 means that there is no such limit. With ``wait_for_room``, calls wait for a free
    slot as long as they can be answered in time; under the policy ``shared_load`` only.
    """

    hosts: list[str] = []
    path_prefixes: list[str] = msgspec.field(default_factory=lambda: ["/"])
    depends_on: list[str] = []
    slots_per_upstream: int = 3
    connections_per_upstream: int = 200
    timeout_ms: int = 2000
    queue_limit: int = 512
    caller_weights: dict[str, int] = {}
    idempotency_header: str = "Idempotency-Key"
    credential_header: str = "Authorization"
    retry_share: float = 0.1
    spare_retries: int | None = None
    max_attempts: int = 3
    hedge: bool = True
    probe_path: str = ""
    cold_s: float = 0.0
    cold_requests_per_s: float = 0.0
    wait_for_room: bool = False
    routes: list[Route] = []


class SplitPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One service of a weighted split; weights are relative to their sum."""

    service: str
    weight: int


class EntryRoute(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Maps one host and path prefix to a service, or to several by weight.

    Entry routes exist in addition to the ``hosts`` and ``path_prefixes`` of services
    and have rules of their own. Times are in milliseconds. ``target_ms`` is the time
    within which an answer is useful; 0 means ``timeout_ms``. The highest ``priority``
    is 0. ``max_attempts`` limits the upstreams that one call may be sent to. Requests
    of an ``anonymous`` route need no key of a workspace.

    Example::

        [[routes]]
        host = "desk.example"
        path_prefix = "/orders/"
        split = [{ service = "desk", weight = 9 }, { service = "new", weight = 1 }]

    """

    host: str = "*"
    path_prefix: str = "/"
    service: str = ""
    split: list[SplitPart] = []
    idempotent: bool | None = None
    timeout_ms: int = 2000
    target_ms: int = 0
    priority: int = 0
    max_attempts: int = 3
    anonymous: bool = False


class Workspace(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A group of callers, told by the keys that their requests carry.

    Its ``priority`` takes precedence over that of a route; None leaves the route's.
    All gateways together pass on ``requests_per_s`` of its requests, and up to
    ``burst`` more at once; 0 requests per second means that there is no quota.

    Example::

        [workspaces.franchise-12]
        keys = ["k-7f21"]
        priority = 0
        requests_per_s = 40
        burst = 40

    """

    keys: list[str] = []
    priority: int | None = None
    requests_per_s: float = 0.0
    burst: float = 0.0

    def __repr__(self) -> str:
        """Return a description without the keys, as it may be logged."""
        return f"Workspace(<{len(self.keys)} keys>)"


class Measuring(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Budgets for probes and for control traffic.

    ``probe_share`` is the fraction of an upstream's slot time over 60 s that probes may
    use. ``control_bytes_per_second`` is the budget of each daemon for messages to other
    daemons.
    """

    probe_share: float = 0.005
    probe_path: str = "/healthz"
    probe_cost_ms: int = 6
    control_bytes_per_second: int = 65536


class Claims(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How long claims are kept, and the size limit of a stored answer in bytes."""

    retention_s: int = 86_400
    kept_answer_bytes: int = 16_384


class Protection(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limits for request quarantine, outlier ejection and slow start."""

    crash_limit: int = 2
    crash_quarantine_s: int = 600
    ramp_ms: int = 5000
    eject_after_failures: int = 3


class OperatorText(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """The whole operators' text.

    Without ``workspaces``, requests need no key. An empty table admits those of
    anonymous routes only. Upstreams of ``evacuated_zones`` get no requests.
    """

    policy: PolicyName = "permits"
    measuring: Measuring = Measuring()
    claims: Claims = Claims()
    protection: Protection = Protection()
    services: dict[str, Service]
    routes: list[EntryRoute] = []
    workspaces: dict[str, Workspace] | None = None
    evacuated_zones: list[str] = []


def parse_text(content: str) -> OperatorText:
    """Parse and check an operators' text.

    Raises :class:`TextError` with the location, the problem and the remedy.
    """
    try:
        raw = tomllib.loads(content)
    except tomllib.TOMLDecodeError as error:
        raise TextError(
            "text", f"not valid TOML ({error})", "correct the syntax"
        ) from error
    try:
        text = msgspec.convert(raw, OperatorText)
    except msgspec.ValidationError as error:
        raise TextError(*_explain(str(error))) from error
    check_text(text)
    return text


def check_text(text: OperatorText) -> None:
    """Check the rules that the schema cannot express; raises :class:`TextError`."""
    if not text.services:
        raise TextError(
            "services", "no service is defined", "add a [services.NAME] table"
        )
    _check_measuring(text.measuring)
    for name, service in text.services.items():
        _check_service(name, service, text.services)
    _check_no_shared_match(text.services)
    _check_entry_routes(text)
    check_workspaces(text.workspaces or {})
    _check_acyclic(text.services)


def _explain(message: str) -> tuple[str, str, str]:
    problem, _, place = message.partition(" - at ")
    where = place.strip("`").removeprefix("$").removeprefix(".") or "text"
    if "unknown field" in problem:
        remedy = "remove the key or correct its spelling"
    elif "missing required" in problem:
        remedy = "add the key"
    else:
        remedy = "write a value of the expected type"
    return where, problem, remedy


def _check_measuring(measuring: Measuring) -> None:
    if not 0 <= measuring.probe_share <= 1:
        raise TextError(
            "measuring.probe_share",
            f"{measuring.probe_share} is no share of slot time",
            "write a number from 0 to 1",
        )
    if measuring.control_bytes_per_second < 1024:
        raise TextError(
            "measuring.control_bytes_per_second",
            f"{measuring.control_bytes_per_second} carries no heartbeats",
            "write at least 1024",
        )


def _check_service(name: str, service: Service, services: dict[str, Service]) -> None:
    where = f"services.{name}"
    for other in service.depends_on:
        if other not in services:
            raise TextError(
                f"{where}.depends_on",
                f"service {other!r} is not defined",
                f"define [services.{other}] or remove it from the list",
            )
    lowest_by_key = {
        "slots_per_upstream": 1,
        "connections_per_upstream": 1,
        "timeout_ms": 1,
        "queue_limit": 1,
        "max_attempts": 1,
        "cold_s": 0,
        "cold_requests_per_s": 0,
    }
    for key, lowest in lowest_by_key.items():
        if getattr(service, key) < lowest:
            raise TextError(
                f"{where}.{key}",
                f"{getattr(service, key)} is too small",
                f"write at least {lowest}",
            )
    if not 0 <= service.retry_share <= 1:
        raise TextError(
            f"{where}.retry_share",
            f"{service.retry_share} is no share of calls",
            "write a number from 0 to 1",
        )
    prefixes = service.path_prefixes + [route.path_prefix for route in service.routes]
    for prefix in prefixes:
        if not prefix.startswith("/"):
            raise TextError(
                f"{where}",
                f"path prefix {prefix!r} has no leading slash",
                "start it with /",
            )
        normalized = normalize_path(prefix)
        if has_dot_segments(normalized) or "\\" in normalized:
            raise TextError(
                f"{where}",
                f"path prefix {prefix!r} matches no request, as paths with dot "
                "segments or backslashes are refused",
                "write the resolved path",
            )


def _check_no_shared_match(services: dict[str, Service]) -> None:
    owner_by_match: dict[tuple[str, str], str] = {}
    for name, service in services.items():
        matches = product(service.hosts or ["*"], service.path_prefixes)
        for host, prefix in matches:
            match = (host_name(host), normalize_path(prefix))
            owner = owner_by_match.setdefault(match, name)
            if owner != name:
                raise TextError(
                    f"services.{name}",
                    f"requests for {host}{prefix} match service {owner!r} too",
                    "give each service its own hosts or path_prefixes",
                )


def _check_entry_routes(text: OperatorText) -> None:
    seen: set[tuple[str, str]] = set()
    for index, route in enumerate(text.routes):
        where = f"routes.{index}"
        match = (host_name(route.host), route.path_prefix)
        if match in seen:
            raise TextError(
                where,
                f"{route.host}{route.path_prefix} has two routes",
                "remove one of them",
            )
        seen.add(match)
        if bool(route.service) == bool(route.split):
            raise TextError(
                where,
                "a route needs either a service or a split",
                "write one of the two",
            )
        if not route.path_prefix.startswith("/"):
            raise TextError(
                where,
                f"path prefix {route.path_prefix!r} has no leading slash",
                "start it with /",
            )
        if route.timeout_ms < 1 or route.max_attempts < 1 or route.priority < 0:
            raise TextError(
                where,
                "timeout_ms and max_attempts must be positive, priority not negative",
                "write at least 1, or 0 for the highest priority",
            )
        if route.split and (
            min(part.weight for part in route.split) < 0
            or not sum(part.weight for part in route.split)
        ):
            raise TextError(
                f"{where}.split",
                "the weights are negative or sum up to 0",
                "write weights of 0 or more, one of them positive",
            )
        for name in [route.service, *(part.service for part in route.split)]:
            if name and name not in text.services:
                raise TextError(
                    where,
                    f"service {name!r} is not defined",
                    f"define [services.{name}] or name another service",
                )


def _check_acyclic(services: dict[str, Service]) -> None:
    finished: set[str] = set()

    def visit(name: str, path: list[str]) -> None:
        if name in finished:
            return
        if name in path:
            cycle = " -> ".join([*path[path.index(name) :], name])
            raise TextError(
                f"services.{name}.depends_on",
                f"dependency cycle {cycle}",
                "remove one of these dependencies",
            )
        for other in services[name].depends_on:
            visit(other, [*path, name])
        finished.add(name)

    for name in services:
        visit(name, [])
