"""Maps a request to its service and to the rules of the operators' text for it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from banyanshelf_core.errors import RequestError
from banyanshelf_core.model import ServiceName, WorkspaceName
from banyanshelf_core.request_target import (
    has_dot_segments,
    host_name,
    normalize_path,
)
from banyanshelf_core.text import EntryRoute, OperatorText, Route, Service

# RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})

# The fractional parts of its multiples cover [0, 1) evenly for any count of them.
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949


class RouteDecision(NamedTuple):
    """The rules that apply to one request.

    ``path_prefix`` is the prefix that selected the service. ``key`` is the idempotency
    key of a non-idempotent call, if the request has one. ``credential`` is empty if it
    has none. ``target_s`` is the time within which an answer is useful; 0 means that
    none is set. The highest ``priority`` is 0. If ``max_attempts`` is 0, the limit of
    the service applies. ``entry_host`` is the host of the entry route, if one matched;
    later versions may lead its requests to other services. ``workspace`` is the one
    whose key the request has; it is empty if the request needs none. Requests of an
    ``anonymous`` route need none.
    """

    service_name: ServiceName
    service: Service
    path_prefix: str
    idempotent: bool
    require_key: bool
    timeout_s: float
    key: bytes | None
    credential: bytes
    target_s: float = 0.0
    priority: int = 0
    max_attempts: int = 0
    entry_host: str = ""
    workspace: WorkspaceName = ""
    anonymous: bool = False


class _Rule(NamedTuple):
    path_prefix: str
    methods: frozenset[str]
    idempotent: bool | None
    require_key: bool
    timeout_s: float


class _Candidate(NamedTuple):
    path_prefix: str
    service_name: ServiceName
    service: Service
    rules: list[_Rule]
    key_header: bytes
    credential_header: bytes


class _WeightedSplit:
    """Distributes the requests of one route over services by weight.

    Services are chosen by a low-discrepancy sequence, so that the shares are close to
    the weights after a few hundred requests.
    """

    def __init__(self, route: EntryRoute, offset: float) -> None:
        total = sum(part.weight for part in route.split)
        self._position = offset
        self._bounds: list[tuple[float, ServiceName]] = []
        bound = 0.0
        for part in route.split:
            if part.weight:
                bound += part.weight / total
                self._bounds.append((bound, part.service))

    def next_service(self) -> ServiceName:
        """Return the service of the next request."""
        self._position = (self._position + GOLDEN_RATIO_CONJUGATE) % 1.0
        for bound, service in self._bounds:
            if self._position < bound:
                return service
        return self._bounds[-1][1]


class _Entry(NamedTuple):
    """An entry route, prepared for matching."""

    route: EntryRoute
    path_prefix: str
    split: _WeightedSplit | None


class RequestMatcher:
    """Finds the service and the route of a request.

    Entry routes take precedence over the hosts and prefixes of services. A service that
    names the host takes precedence over one for any host; then the longest path prefix
    wins. Prefixes match whole path segments: ``/pay`` matches ``/pay/1`` but not
    ``/payments``.

    Entry routes compare paths as they were sent, so that ``/orders%2Fpaid`` does not
    match ``/orders/paid/``. For the prefixes of services, percent-encoding and repeated
    slashes do not change the match, in the request or in the text, so that a rule
    cannot be bypassed by writing a path differently.
    """

    def __init__(
        self,
        candidates_by_host: Mapping[str, list[_Candidate]],
        entries_by_host: Mapping[str, list[_Entry]] | None = None,
        services: Mapping[ServiceName, Service] | None = None,
    ) -> None:
        self._candidates_by_host = candidates_by_host
        self._any_host = candidates_by_host.get("*", [])
        self._entries_by_host = entries_by_host or {}
        self._services = services or {}

    @classmethod
    def from_text(cls, text: OperatorText, split_offset: float = 0.0) -> RequestMatcher:
        """Build the matcher of an accepted text.

        ``split_offset``, from 0 to 1, is the start of the sequence that weighted splits
        follow. Gateways with different offsets do not all start with the same service.
        """
        candidates_by_host: dict[str, list[_Candidate]] = {}
        for name, service in text.services.items():
            rules = sorted(
                (_rule(route, service) for route in service.routes),
                key=lambda rule: (len(rule.path_prefix), bool(rule.methods)),
                reverse=True,
            )
            for host in service.hosts or ["*"]:
                candidates_by_host.setdefault(host_name(host), []).extend(
                    _Candidate(
                        normalize_path(prefix),
                        name,
                        service,
                        rules,
                        service.idempotency_header.lower().encode("latin-1"),
                        service.credential_header.lower().encode("latin-1"),
                    )
                    for prefix in service.path_prefixes
                )
        for candidates in candidates_by_host.values():
            candidates.sort(key=lambda found: len(found.path_prefix), reverse=True)
        return cls(
            candidates_by_host, _entries_by_host(text, split_offset), text.services
        )

    def match(
        self,
        host: str,
        path: str,
        method: str,
        headers: Mapping[bytes, bytes],
    ) -> RouteDecision:
        """Return the rules for a request; ``headers`` has lower-case names.

        Raises :class:`RequestError` with 404 if no service matches, and with 400 for a
        path with dot segments or backslashes, which two servers may resolve
        differently.
        """
        normalized = normalize_path(path)
        _check_resolved(normalized)
        name = host_name(host)
        entry = _first_entry(self._entries_by_host, name, path)
        if entry is not None:
            return self._entry_decision(entry, method)
        named = self._candidates_by_host.get(name, ())
        candidate = _first_match(named, normalized) or _first_match(
            self._any_host, normalized
        )
        if candidate is None:
            raise RequestError(404, f"no service is configured for {host}{path}")
        service = candidate.service
        rule = _first_rule(candidate.rules, normalized, method)
        idempotent = method in IDEMPOTENT_METHODS
        if rule is None:
            require_key, timeout_s = False, service.timeout_ms / 1000
        else:
            require_key, timeout_s = rule.require_key, rule.timeout_s
            if rule.idempotent is not None:
                idempotent = rule.idempotent
        return RouteDecision(
            candidate.service_name,
            service,
            candidate.path_prefix,
            idempotent,
            require_key,
            timeout_s,
            None if idempotent else headers.get(candidate.key_header),
            headers.get(candidate.credential_header, b""),
        )

    def _entry_decision(self, entry: _Entry, method: str) -> RouteDecision:
        route = entry.route
        name = entry.split.next_service() if entry.split else route.service
        idempotent = route.idempotent
        if idempotent is None:
            idempotent = method in IDEMPOTENT_METHODS
        return RouteDecision(
            name,
            self._services[name],
            route.path_prefix,
            idempotent,
            False,
            route.timeout_ms / 1000,
            None,
            b"",
            (route.target_ms or route.timeout_ms) / 1000,
            route.priority,
            route.max_attempts,
            host_name(route.host),
            anonymous=route.anonymous,
        )


def _entries_by_host(text: OperatorText, offset: float) -> dict[str, list[_Entry]]:
    entries_by_host: dict[str, list[_Entry]] = {}
    for route in text.routes:
        split = _WeightedSplit(route, offset) if route.split else None
        entry = _Entry(route, route.path_prefix, split)
        entries_by_host.setdefault(host_name(route.host), []).append(entry)
    for entries in entries_by_host.values():
        entries.sort(key=lambda each: len(each.path_prefix), reverse=True)
    return entries_by_host


def _first_entry(
    entries_by_host: Mapping[str, list[_Entry]], host: str, path: str
) -> _Entry | None:
    for name in (host, "*"):
        for entry in entries_by_host.get(name, ()):
            if _matches_prefix(entry.path_prefix, path):
                return entry
    return None


def _check_resolved(normalized: str) -> None:
    if has_dot_segments(normalized):
        raise RequestError(400, "the path has dot segments; send the resolved path")
    if "\\" in normalized:
        raise RequestError(400, "the path has a backslash; use / between segments")


def _rule(route: Route, service: Service) -> _Rule:
    timeout_ms = service.timeout_ms if route.timeout_ms is None else route.timeout_ms
    return _Rule(
        normalize_path(route.path_prefix),
        frozenset(method.upper() for method in route.methods),
        route.idempotent,
        route.require_key,
        timeout_ms / 1000,
    )


def _matches_prefix(prefix: str, path: str) -> bool:
    if not path.startswith(prefix):
        return False
    end = len(prefix)
    return len(path) == end or prefix.endswith("/") or path[end] == "/"


def _first_match(
    candidates: list[_Candidate] | tuple[()], path: str
) -> _Candidate | None:
    for candidate in candidates:
        if _matches_prefix(candidate.path_prefix, path):
            return candidate
    return None


def _first_rule(rules: list[_Rule], path: str, method: str) -> _Rule | None:
    for rule in rules:
        if _matches_prefix(rule.path_prefix, path) and (
            not rule.methods or method in rule.methods
        ):
            return rule
    return None
