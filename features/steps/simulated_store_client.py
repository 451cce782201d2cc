"""A store client on the simulated platform."""

from simulated_platform import SimulatedPlatform, settings_for
from twisted.internet.defer import Deferred

from banyanshelf_core.errors import StoreBudgetError, StoreUnavailableError
from banyanshelf_core.store_transactions import Compare, Put, Transaction
from banyanshelf_daemon.store_client import CALL_TIMEOUT_S, StoreClient


class SimulatedStoreClient(SimulatedPlatform):
    """A store client that may make ``rate`` calls a second."""

    def __init__(self, rate):
        super().__init__()
        settings = settings_for(1, store_calls_per_second=rate)
        self.client = StoreClient(self.reactor, settings)
        self.events = []
        self.resets = 0
        self.restores = 0
        self.client.on_restore(self._on_restore)

    def _on_restore(self):
        self.restores += 1

    def stop_all(self):
        self.client.stop()

    def _call(self, coroutine):
        outcome = []
        Deferred.fromCoroutine(coroutine).addBoth(outcome.append)
        self.run(CALL_TIMEOUT_S + 0.1)
        (self.outcome,) = outcome
        return self.outcome

    def put(self, key, value):
        self._call(self.client.put(key, value.encode()))

    def replace_twice(self, key, value):
        record = self._call(self.client.get(key))
        change = Transaction(
            (Compare(key, record.mod_revision),), (Put(key, value.encode()),), (key,)
        )
        first, second = (self._call(self.client.transact(change)) for _ in range(2))
        assert first.succeeded
        assert not second.succeeded
        assert second.reads[0].mod_revision == first.revision

    def calls_at_once(self, count):
        self.outcomes = []
        for _ in range(count):
            call = Deferred.fromCoroutine(self.client.get("key"))
            call.addBoth(self.outcomes.append)
        self.run(0.2)

    def watch(self):
        self.client.watch("members/", 1, self.events.append, self._reset)
        self.run(0.1)

    def _reset(self):
        self.resets += 1

    def cut_connections(self):
        self.store.server.abort_connections()

    def store_forgets_revisions(self):
        self.store.keys.first_event_revision = self.store.keys.revision + 10

    def garbage(self):
        for connection in self.store.server.connections:
            connection.send(b"5\r\n{{{{\n\r\n")

    def write_missed(self, key, *values):
        self.store_refuses()
        for value in values:
            self.write(key, str(value))
        self.store_answers()

    # Checks

    def maybe_written(self, key, value):
        self.outcome.trap(StoreUnavailableError)
        assert "a write may have happened" in self.outcome.getErrorMessage()
        assert self._call(self.client.get(key)).value == value.encode()

    def not_sent(self):
        self.outcome.trap(StoreUnavailableError)
        assert "nothing was sent" in self.outcome.getErrorMessage()

    def refused_for_budget(self, count):
        failures = [each for each in self.outcomes if each is not None]
        assert all(each.check(StoreBudgetError) for each in failures)
        assert len(failures) == count, len(failures)
        assert self.store.calls_by_kind["range"] == len(self.outcomes) - count

    def reported(self, *values):
        seen = [each.record.value.decode() or "deleted" for each in self.events]
        assert seen == [str(value) for value in values], seen

    def watches_counted(self, count):
        assert self.client.snapshot()["calls"]["watch"] == count

    def dials_between(self, lowest, highest):
        assert lowest <= len(self.reactor.dials) <= highest, len(self.reactor.dials)

    def restores_seen(self, count):
        assert self.restores == count, self.restores

    def reset_once(self):
        assert self.resets == 1
