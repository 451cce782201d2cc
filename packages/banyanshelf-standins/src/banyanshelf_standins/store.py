"""Stand-in for the configuration store: etcd's v3 interface as JSON over HTTP.

Example:
    ``python -m banyanshelf_standins.store --listen 127.0.0.1:2379
    --control-listen 127.0.0.1:2380``

"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import fire
from twisted.internet import reactor
from twisted.internet.task import LoopingCall

from banyanshelf_standins import store_json
from banyanshelf_standins.http_server import Exchange, HttpServer, resident_kilobytes
from banyanshelf_standins.key_space import Event, KeySpace, Snapshot, in_range

LEASE_CHECK_INTERVAL_S = 0.1
KIND_BY_PATH = {
    "/v3/kv/range": "range",
    "/v3/kv/put": "put",
    "/v3/kv/txn": "txn",
    "/v3/kv/deleterange": "delete_range",
    "/v3/lease/grant": "lease_grant",
    "/v3/lease/keepalive": "lease_keepalive",
    "/v3/lease/revoke": "lease_revoke",
    "/v3/watch": "watch",
}
WRITE_KINDS = {"put", "txn", "delete_range"}


class Faults:
    """Simulated faults; ``outage`` is ``off``, ``refuse`` or ``hang``."""

    def __init__(self) -> None:
        self.outage = "off"
        self.latency_s = 0.0
        self.lose_answers = 0
        self.drop_writes = 0


class Store:
    """Serves the key space and counts calls by kind."""

    def __init__(self, listen: str, control_listen: str) -> None:
        self.keys = KeySpace()
        self.faults = Faults()
        self.calls_by_kind: Counter[str] = Counter()
        self.pending_watches = 0
        self.snapshot: Snapshot | None = None
        self.server = HttpServer(listen, self.handle)
        self.control = HttpServer(control_listen, self.handle_control)

    def run(self) -> None:
        """Serve until the process is asked to terminate."""
        self.server.open()
        self.control.open()
        LoopingCall(self._expire).start(LEASE_CHECK_INTERVAL_S)
        reactor.run()

    def _expire(self) -> None:
        self.keys.expire_leases(reactor.seconds())

    def handle(self, exchange: Exchange) -> None:
        """Handle one client request."""
        kind = KIND_BY_PATH.get(exchange.path)
        if kind is None or exchange.method != "POST":
            exchange.answer_json(store_json.error(5, "Not Found"), 404)
            return
        self.calls_by_kind[kind] += 1
        if self.faults.outage == "hang":
            return
        if self.faults.latency_s > 0:
            reactor.callLater(self.faults.latency_s, self._serve, kind, exchange)
        else:
            self._serve(kind, exchange)

    def _serve(self, kind: str, exchange: Exchange) -> None:
        if exchange.ended or self.faults.outage != "off":
            return
        if kind in WRITE_KINDS and self.faults.drop_writes > 0:
            self.faults.drop_writes -= 1
            exchange.drop()
            return
        if kind == "watch":
            self._watch(exchange)
            return
        try:
            result = self._execute(kind, exchange.json())
        except ValueError as error:
            exchange.answer_json(store_json.error(3, str(error)), 400)
            return
        if kind in WRITE_KINDS and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            exchange.drop()
            return
        if result is None:
            missing = store_json.error(5, "requested lease not found")
            exchange.answer_json(missing, 404)
            return
        exchange.answer_json(result)

    def _execute(self, kind: str, body: Any) -> Any:
        keys, now = self.keys, reactor.seconds()
        match kind:
            case "range":
                wanted = store_json.read_range(body)
                return store_json.range_result(keys, wanted, keys.read(wanted))
            case "put":
                keys.transact([], [store_json.read_put(body)], [])
                return {"header": store_json.header(keys)}
            case "delete_range":
                operation = store_json.read_delete_range(body)
                _, results = keys.transact([], [operation], [])
                return store_json.delete_result(keys, results[0])
            case "txn":
                return store_json.run_transaction(keys, body)
            case "lease_grant":
                ttl_s = max(1, int(body["TTL"]))
                lease = keys.grant_lease(int(body.get("ID", 0)), ttl_s, now)
                return store_json.lease_result(keys, lease, ttl_s)
            case "lease_keepalive":
                lease = int(body["ID"])
                ttl_s = keys.keep_alive(lease, now)
                return {"result": store_json.lease_result(keys, lease, ttl_s)}
        if not keys.revoke(int(body["ID"])):
            return None
        return {"header": store_json.header(keys)}

    def _watch(self, exchange: Exchange) -> None:
        wanted = exchange.json()["create_request"]
        key = store_json.decode_bytes(wanted["key"])
        range_end = store_json.decode_bytes(wanted.get("range_end", ""))
        start = int(wanted.get("start_revision", 0))
        exchange.start_stream()
        created = {"header": store_json.header(self.keys), "created": True}
        exchange.write_line({"result": created})
        if start and start < self.keys.first_event_revision - 1:
            compacted = str(self.keys.first_event_revision)
            canceled = {"canceled": True, "compact_revision": compacted}
            exchange.write_line({"result": canceled})
            exchange.end_stream()
            return

        def listener(revision: int, events: list[Event]) -> None:
            matching = [
                store_json.event_json(event)
                for event in events
                if in_range(event.entry.key, key, range_end)
            ]
            if matching and self.faults.outage == "off":
                header = store_json.header(self.keys)
                exchange.write_line({"result": {"header": header, "events": matching}})

        if start:
            listener(self.keys.revision, self.keys.events_since(start))
        self.keys.listeners.append(listener)
        self.pending_watches += 1
        exchange.on_closed.append(lambda: self._remove_watch(listener))

    def _remove_watch(self, listener: Callable[[int, list[Event]], None]) -> None:
        self.keys.listeners.remove(listener)
        self.pending_watches -= 1

    def handle_control(self, exchange: Exchange) -> None:
        """Handle one request on the control listener."""
        match exchange.method, exchange.path:
            case "GET", "/stats":
                exchange.answer_json(self.statistics())
            case "POST", "/snapshot":
                self.snapshot = self.keys.snapshot()
                exchange.answer_json({})
            case "POST", "/restore" if self.snapshot is not None:
                self.restore(self.snapshot)
                exchange.answer_json({})
            case "POST", "/faults":
                self.set_faults(exchange.json())
                exchange.answer_json({})
            case _:
                exchange.answer_json({"error": "no such control call"}, 404)

    def restore(self, snapshot: Snapshot) -> None:
        """Return to a snapshot, as a store that was started from it would."""
        self.server.abort_connections()
        self.keys.restore(snapshot, reactor.seconds())

    def statistics(self) -> dict[str, Any]:
        """Return counts since the start and the memory in use."""
        return {
            "calls_by_kind": dict(self.calls_by_kind),
            "pending_watches": self.pending_watches,
            "keys": len(self.keys),
            "revision": self.keys.revision,
            "memory_kb": resident_kilobytes(),
        }

    def set_faults(self, changes: dict[str, Any]) -> None:
        """Change the given faults and keep the others."""
        faults = self.faults
        faults.latency_s = (
            float(changes.get("latency_ms", faults.latency_s * 1e3)) / 1e3
        )
        faults.lose_answers = int(changes.get("lose_answers", faults.lose_answers))
        faults.drop_writes = int(changes.get("drop_writes", faults.drop_writes))
        outage = changes.get("outage", faults.outage)
        if outage not in ("off", "refuse", "hang"):
            raise ValueError(f"outage {outage!r} is none of off, refuse, hang")
        if outage == faults.outage:
            return
        faults.outage = outage
        # Calls that hung during an outage get no answer after it either.
        self.server.abort_connections()
        if outage == "refuse":
            self.server.close()
        else:
            self.server.open()


def run(listen: str, control_listen: str) -> None:
    """Serve the store; both addresses are ``host:port``."""
    Store(listen, control_listen).run()


if __name__ == "__main__":
    fire.Fire(run)
