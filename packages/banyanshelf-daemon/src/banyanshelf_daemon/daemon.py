"""The gateway daemon: creates its components and starts and stops them in order."""

from __future__ import annotations

import random
import time
from collections.abc import Generator
from typing import Any

from twisted.internet import defer
from twisted.internet.task import deferLater

from banyanshelf_core.errors import RequestError
from banyanshelf_core.matching import RequestMatcher
from banyanshelf_core.model import Member, Upstream, UpstreamState
from banyanshelf_core.request_memory import RequestMemory
from banyanshelf_core.workspace_text import without_keys
from banyanshelf_daemon.call import CallHandler
from banyanshelf_daemon.caller_listener import CallerListener
from banyanshelf_daemon.caller_server import CallerServerFactory
from banyanshelf_daemon.claim_records import BudgetedClaimStore
from banyanshelf_daemon.claim_service import ClaimTask
from banyanshelf_daemon.cluster import Cluster
from banyanshelf_daemon.coordination import Coordination
from banyanshelf_daemon.decision_log import DecisionLog
from banyanshelf_daemon.host_list import HostDirectory
from banyanshelf_daemon.interfaces import ActiveText
from banyanshelf_daemon.lifecycle import new_lifecycle
from banyanshelf_daemon.metrics import Metrics
from banyanshelf_daemon.operator_api import OperatorApi
from banyanshelf_daemon.peer_link import PeerLinks
from banyanshelf_daemon.settings import Address, Settings
from banyanshelf_daemon.store_client import StoreClient

LISTEN_BACKLOG = 512


class Daemon:
    """One gateway daemon with its listeners and components."""

    def __init__(self, reactor: Any, settings: Settings) -> None:
        self._reactor = reactor
        self._settings = settings
        self._rng = random.Random(settings.seed or None)
        self.lifecycle = new_lifecycle(self._log_state)
        self.log = DecisionLog(reactor, settings.log_level)
        self.log.handle_all_loggers()
        self.metrics = Metrics(
            reactor,
            Address.from_string(settings.statsd) if settings.statsd else None,
            settings.member_id,
        )
        self.identity = Member(
            id=settings.member_id,
            address=settings.peer_listen,
            zone=settings.zone,
            # Increases with each restart; a stale value is corrected by refutation.
            incarnation=int(time.time() * 1000),
        )
        self.store = StoreClient(reactor, settings)
        self.network = PeerLinks(reactor, settings, self.identity)
        self.cluster = Cluster(reactor, settings, self.store, self.network, self._rng)
        self.directory = HostDirectory(reactor, settings, self.network)
        self.coordination = Coordination(
            reactor,
            settings,
            self.cluster,
            self.cluster,
            self.directory,
            self.network,
            self._rng,
            self._send_probe,
        )
        self.claims = ClaimTask(
            reactor,
            settings,
            self.cluster,
            self.cluster,
            self.network,
            BudgetedClaimStore(self.store),
            self._rng,
        )
        self.store.on_restore(self.claims.on_store_restored)
        self.handler = CallHandler(
            reactor,
            settings,
            self.cluster,
            self.coordination,
            self.claims,
            self.directory,
            self.cluster,
            self.network,
            self._rng,
            self.log,
            self.metrics,
        )
        memory = RequestMemory(settings.request_memory_bytes)
        self.metrics.gauge("request_memory.bytes", lambda: memory.held_bytes)
        self.metrics.gauge("request_memory.refused", lambda: memory.refused_count)
        self.metrics.gauge("request_memory.displaced", lambda: memory.displaced_count)
        self._caller_factory = CallerServerFactory(
            self.handler, settings, False, memory
        )
        self._service_factory = CallerServerFactory(
            self.handler, settings, True, memory
        )
        self._ports: list[Any] = []
        self._caller_listeners: list[CallerListener] = []

    def start(self) -> None:
        """Open the listeners and start every component."""
        self._listen(self._settings.operator_listen, self._operator_api().site())
        self.network.start()
        self.cluster.on_change(self._on_text_adopted)
        self.cluster.on_self_removed(self.claims.drop_shards)
        self.cluster.start()
        self.directory.start()
        self.coordination.start()
        self.claims.start()
        self._listen_for_callers(self._settings.listen, self._caller_factory)
        self._listen_for_callers(self._settings.service_listen, self._service_factory)
        if self.cluster.active() is not None:
            self.lifecycle.ready()

    @defer.inlineCallbacks
    def stop(self) -> Generator[Any, Any, None]:
        """Shut down gracefully; calls in progress may finish within the drain timeout.

        The health check fails first, so that the platform's load balancer sends no new
        calls. Then new connections are refused, other members take over the roles, and
        calls in progress finish.
        """
        self.lifecycle.stop_requested()
        for listener in self._caller_listeners:
            listener.begin_stop()
        yield deferLater(self._reactor, self._settings.health_notice_s)
        for listener in self._caller_listeners:
            yield listener.close()
        limit_s = self._settings.drain_timeout_s
        no_calls = defer.DeferredList(
            [listener.drain(limit_s) for listener in self._caller_listeners]
        )
        self.coordination.hand_over()
        yield self._with_drain_timeout(self.claims.hand_over())
        yield self._with_drain_timeout(self.cluster.leave())
        yield no_calls
        yield self._with_drain_timeout(self.claims.wait_until_drained())
        self.lifecycle.drained()
        yield self._close()

    def reload(self) -> None:
        """Log that flags and environment variables are read only at startup."""
        self.log.event("nothing to reload; restart the daemon to change its settings")

    def _with_drain_timeout(self, waiting: defer.Deferred[Any]) -> defer.Deferred[Any]:
        waiting.addTimeout(self._settings.drain_timeout_s, self._reactor)
        return waiting.addErrback(self._log_failure)

    @defer.inlineCallbacks
    def _close(self) -> Generator[Any, Any, None]:
        for port in self._ports:
            yield defer.maybeDeferred(port.stopListening)
        self.coordination.stop()
        yield self.directory.stop()
        self.cluster.stop()
        yield self.network.stop()
        yield self.store.stop()
        self.metrics.stop()
        self.log.flush()

    def _listen(self, address: str, factory: Any) -> None:
        self._ports.append(self._open_port(address, factory))

    def _listen_for_callers(self, address: str, factory: CallerServerFactory) -> None:
        port = self._open_port(address, factory)
        self._caller_listeners.append(
            CallerListener(
                self._reactor, port, factory, self.handler.refuse_calls_beyond
            )
        )

    def _open_port(self, address: str, factory: Any) -> Any:
        host, port = Address.from_string(address)
        return self._reactor.listenTCP(port, factory, LISTEN_BACKLOG, interface=host)

    def _on_text_adopted(self, active: ActiveText) -> None:
        self.log.event(
            "text adopted",
            version=active.version,
            digest=active.digest,
            evacuated_zones=active.text.evacuated_zones,
        )
        self.directory.set_evacuated_zones(active.text.evacuated_zones)
        if self.lifecycle.state_name() == "starting":
            self.lifecycle.ready()

    def _log_state(self, state_name: str) -> None:
        self.log.event("lifecycle", state=state_name)

    def _log_failure(self, failure: Any) -> None:
        self.log.event("stop step failed", error=failure.getErrorMessage())

    def _send_probe(
        self, upstream: Upstream, *, is_repeated: bool = True
    ) -> defer.Deferred[bool]:
        return self.handler.probe(upstream, is_repeated=is_repeated)

    def _operator_api(self) -> OperatorApi:
        return OperatorApi(
            self.lifecycle.is_serving,
            self._status,
            self._configuration,
            self._explain,
        )

    def _status(self) -> dict[str, Any]:
        active = self.cluster.active()
        services = self.coordination.snapshot()
        return {
            "member_id": self.identity.id,
            "zone": self.identity.zone,
            "state": self.lifecycle.state_name(),
            "version": active.version if active else 0,
            "digest": active.digest if active else "",
            **self.cluster.snapshot(),
            "services": services,
            "coordinators": {
                name: service["coordinator"] for name, service in services.items()
            },
            "upstreams": {
                name: service["upstreams"] for name, service in services.items()
            },
            "host_list": self.directory.snapshot(),
            "claims": self.claims.snapshot(),
            "peer_bytes": self.network.snapshot(),
            "store": self.store.snapshot(),
        }

    def _configuration(self) -> dict[str, Any]:
        active = self.cluster.active()
        if active is None:
            return {"version": 0, "digest": "", "text": None}
        return {**active._asdict(), "text": without_keys(active.text)}

    def _explain(self, host: str, path: str, method: str) -> dict[str, Any]:
        active = self.cluster.active()
        if active is None:
            raise RequestError(503, "no text is in effect yet; apply one")
        decision = RequestMatcher.from_text(active.text).match(host, path, method, {})
        upstreams = self.directory.upstreams_by_id(decision.service_name)
        return {
            "version": active.version,
            "decision": decision._asdict(),
            "upstreams": [
                {**upstream._asdict(), "usable": upstream.state is UpstreamState.LIVE}
                for upstream in upstreams.values()
            ],
        }
