"""In-process fake of the platform's host list with long polling."""

import json

from simulated_store import FakeAgent, FakeResponse
from twisted.internet.defer import Deferred


class FakeHostList:
    """Hosts with a version; a request waits until the version changes."""

    def __init__(self, clock):
        self.clock = clock
        self.agent = FakeAgent(clock, self.respond)
        self.hosts = {}
        self.version = 1
        self.waiting = []

    def respond(self, uri, headers, body):
        """Answer a request now or when the list changes."""
        known = headers.getRawHeaders("If-Version-Changed") or [""]
        if known[0] != str(self.version):
            return self._answer()
        wait_s = float(headers.getRawHeaders("Wait-Seconds")[0])
        result = Deferred()
        self.waiting.append(result)
        self.clock.callLater(wait_s, self._release, result)
        return result

    def set_host(self, host_id, state):
        """List a host with a state, or drop it with the state ``gone``."""
        self.hosts.pop(host_id, None)
        if state != "gone":
            self.hosts[host_id] = {
                "id": host_id,
                "service": "desk",
                "address": f"127.9.2.1:{len(self.hosts) + 1}",
                "zone": "Huye",
                "slots": 3,
                "state": state,
            }
        self.version += 1
        waiting, self.waiting = self.waiting, []
        for each in waiting:
            each.callback(self._answer())

    def _release(self, result):
        if result in self.waiting:
            self.waiting.remove(result)
            result.callback(self._answer())

    def _answer(self):
        headers = {b"Host-List-Version": [str(self.version).encode()]}
        response = FakeResponse(headers=headers)
        response.feed(json.dumps({"hosts": list(self.hosts.values())}).encode())
        response.end()
        return response
