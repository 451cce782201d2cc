"""In-process fake of the store's JSON interface, behind a Twisted HTTP agent."""

# ruff: noqa: N802, N803, N815 - the names are those of Twisted's interfaces.

import base64
import json

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone, ResponseFailed, ResponseNeverReceived
from twisted.web.http_headers import Headers

LATENCY_S = 0.002


def decoded(text):
    return base64.b64decode(text)


def encoded(content):
    return base64.b64encode(content).decode()


class FakeTransport:
    """Transport of a response body; like Twisted's, it cannot abort."""

    def __init__(self, on_close):
        self.loseConnection = on_close


class FakeResponse:
    """Response whose body may be streamed."""

    version = (b"HTTP", 1, 1)
    phrase = b""

    def __init__(self, code=200, headers=None):
        self.code = code
        self.headers = Headers(headers or {})
        self.length = 0
        self.request = self.previousResponse = None
        self.protocol = None
        self.ended = False
        self.pending = []

    def deliverBody(self, protocol):
        """Pass the body on as it comes."""
        self.protocol = protocol
        protocol.makeConnection(FakeTransport(lambda: self.end(ResponseFailed([]))))
        pending, self.pending = self.pending, []
        for each in pending:
            self._deliver(each)

    def _deliver(self, content):
        if self.protocol is None:
            self.pending.append(content)
        elif not self.ended:
            if isinstance(content, bytes):
                self.protocol.dataReceived(content)
            else:
                self.ended = True
                self.protocol.connectionLost(Failure(content))

    def feed(self, content):
        """Add bytes to the body."""
        self._deliver(content)

    def end(self, error=None):
        """End the body, with an error if given."""
        self._deliver(error or ResponseDone())


class FakeAgent:
    """Twisted agent that hands requests to ``respond(uri, headers, body)``.

    ``is_down`` refuses connections; ``lose_answers`` lets requests take effect and
    drops that many of their answers; ``lose_requests`` drops requests.
    """

    def __init__(self, clock, respond):
        self.clock = clock
        self.respond = respond
        self.is_down = False
        self.lose_answers = 0
        self.lose_requests = 0
        self.request_times = []

    def request(self, method, uri, headers=None, bodyProducer=None):
        """Send a request."""
        # Twisted's agent reports a cancellation as an error of its own.
        result = Deferred(
            lambda it: it.errback(ResponseNeverReceived([Failure(CancelledError())]))
        )
        self.request_times.append(self.clock.seconds())
        collected = []
        if bodyProducer is not None:
            consumer = type("Consumer", (), {"write": collected.append})()
            bodyProducer.startProducing(consumer)
        body = b"".join(collected)
        self.clock.callLater(LATENCY_S, self._arrive, result, uri, headers, body)
        return result

    def _arrive(self, result, uri, headers, body):
        if self.is_down:
            if not result.called:
                result.errback(ConnectionRefusedError())
            return
        if self.lose_requests:
            self.lose_requests -= 1
            return
        response = self.respond(uri.decode(), headers, body)
        if self.lose_answers:
            self.lose_answers -= 1
            return
        if isinstance(response, Deferred):
            response.addCallback(lambda late: result.called or result.callback(late))
        elif not result.called:
            result.callback(response)


class FakeStore:
    """Records, leases and watches with revisions."""

    def __init__(self, clock):
        self.clock = clock
        self.agent = FakeAgent(clock, self.respond)
        self.records = {}
        self.revision = 1
        self.leases = {}
        self.next_lease = 100
        self.watches = []
        self.log = []
        self.calls = []

    def respond(self, uri, headers, body):
        """Answer a request."""
        request = json.loads(body)
        path = uri.split("/v3/")[1]
        self.calls.append(path)
        self._expire_leases()
        if path == "watch":
            return self._watch(request["create_request"])
        handler = getattr(self, "_" + path.replace("/", "_"))
        answer = handler(request)
        if answer is None:
            return FakeResponse(400)
        response = FakeResponse()
        header = {"header": {"revision": str(self.revision)}}
        response.feed(json.dumps(header | answer).encode())
        response.end()
        return response

    def interrupt(self):
        """Refuse calls and cut the watches."""
        self.agent.is_down = True
        watches, self.watches = self.watches, []
        for _, _, response in watches:
            response.end(ResponseFailed([]))

    def resume(self):
        """Accept calls again."""
        self.agent.is_down = False

    def write(self, key, value, lease=0):
        """Write a record."""
        self.revision += 1
        record = {
            "key": encoded(key),
            "value": encoded(value),
            "mod_revision": str(self.revision),
        }
        self.records[key] = (record, lease)
        self._notify({"kv": record})

    def delete(self, key):
        """Delete a record."""
        if self.records.pop(key, None) is not None:
            self.revision += 1
            gone = {"key": encoded(key), "mod_revision": str(self.revision)}
            self._notify({"type": "DELETE", "kv": gone})

    def _notify(self, event):
        self.log.append((self.revision, event))
        for start, end, response in list(self.watches):
            if start <= decoded(event["kv"]["key"]) < end:
                response.feed(self._line(self.revision, [event]))

    def _line(self, revision, events):
        header = {"revision": str(revision)}
        return (
            json.dumps({"result": {"header": header, "events": events}}).encode()
            + b"\n"
        )

    def _watch(self, request):
        start, end = decoded(request["key"]), decoded(request["range_end"])
        response = FakeResponse()
        header = {"revision": str(self.revision)}
        response.feed(
            json.dumps({"result": {"header": header, "created": True}}).encode()
        )
        response.feed(b"\n")
        for revision, event in self.log:
            inside = start <= decoded(event["kv"]["key"]) < end
            if revision >= int(request["start_revision"]) and inside:
                response.feed(self._line(revision, [event]))
        self.watches.append((start, end, response))
        return response

    def _kv_range(self, request):
        start = decoded(request["key"])
        end = decoded(request["range_end"]) if "range_end" in request else start + b"\0"
        found = [
            each
            for key, (each, _) in sorted(self.records.items())
            if start <= key < end
        ]
        return {"kvs": found, "count": str(len(found))} if found else {}

    def _kv_put(self, request):
        lease = int(request.get("lease", 0))
        if lease and lease not in self.leases:
            return None
        self.write(decoded(request["key"]), decoded(request["value"]), lease)
        return {}

    def _kv_txn(self, request):
        for compare in request["compare"]:
            record, _ = self.records.get(decoded(compare["key"]), ({}, 0))
            if int(record.get("mod_revision", 0)) != int(compare["mod_revision"]):
                answers = [
                    {"response_range": self._kv_range(each["request_range"])}
                    for each in request["failure"]
                ]
                return {"responses": answers}
        for each in request["success"]:
            self._kv_put(each["request_put"])
        return {"succeeded": True}

    def _lease_grant(self, request):
        self.next_lease += 1
        ttl = int(request["TTL"])
        self.leases[self.next_lease] = (ttl, self.clock.seconds() + ttl)
        return {"ID": str(self.next_lease), "TTL": str(ttl)}

    def _lease_keepalive(self, request):
        lease = int(request["ID"])
        if lease not in self.leases:
            return {"result": {"ID": str(lease)}}
        ttl, _ = self.leases[lease]
        self.leases[lease] = (ttl, self.clock.seconds() + ttl)
        return {"result": {"ID": str(lease), "TTL": str(ttl)}}

    def _lease_revoke(self, request):
        self._end_lease(int(request["ID"]))
        return {}

    def _expire_leases(self):
        for lease, (_, expires) in list(self.leases.items()):
            if self.clock.seconds() >= expires:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, (_, owner) in self.records.items() if owner == lease]:
            self.delete(key)
