"""Membership and configuration of a group on a simulated clock, with faults."""

import heapq
import itertools
import random

from banyanshelf_core.configuration import (
    Adopted,
    ConfigurationTracker,
    ReadFromStore,
    Rejected,
)
from banyanshelf_core.hashing import digest
from banyanshelf_core.membership import (
    MembersChanged,
    MembershipProtocol,
    SelfRemoved,
)
from banyanshelf_core.membership_view import MAX_UPDATES_PER_MESSAGE
from banyanshelf_core.messages import Ack, Leaving, MemberUpdate, Ping, PingRequest
from banyanshelf_core.model import Broadcast, Member, Send

TICK_S = 0.1
# Covers a round of pings in shuffled order, the suspicion timeout and the dissemination
# of updates.
SETTLE_S = 60.0


def text_of(version):
    return f'[services.desk]\nhosts = ["desk-{version}.example"]\n'


def digest_of(version):
    return digest(text_of(version).encode())


class Process:
    """One daemon process; a restart creates a new one with the same id."""

    def __init__(self, member, seed, now):
        self.id = member.id
        self.protocol = MembershipProtocol(member, random.Random(seed), now)
        self.tracker = ConfigurationTracker(random.Random(seed + 1))
        self.paused_until = 0.0
        self.self_removal_count = 0
        self.versions = []
        self.removals = []


class SimulatedGroup:
    """Processes, the records of the store and the messages in flight."""

    def __init__(self, size, seed):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.numbers = itertools.count()
        self.events = []
        self.processes = {}
        self.sessions = set()
        self.loss_rate = 0.0
        self.latency_range_s = (0.001, 0.001)
        self.is_blocked = lambda sender, receiver: False
        self.is_store_up = True
        self.version = 0
        self.update_counts = []
        self.size = size
        for each in range(size):
            self.start(each)
        members = [each.protocol.identity for each in self.processes.values()]
        for process in self.processes.values():
            process.protocol.mark_member_list_complete()
            self._run_effects(process, process.protocol.observe(members, self.now))

    # Events

    def start(self, member_id):
        member = Member(member_id, f"{member_id}:1", "Huye", 1 + int(self.now * 1000))
        process = Process(member, self.rng.randrange(1 << 30), self.now)
        self.processes[member_id] = process
        self.sessions = {pair for pair in self.sessions if member_id not in pair}
        self._at(self.rng.uniform(0, TICK_S), self._tick, process)
        self._schedule_head_read(process)

    def kill(self, member_id):
        self.processes.pop(member_id, None)

    def pause(self, member_id, seconds):
        self.processes[member_id].paused_until = self.now + seconds

    def cut(self, member_id, seconds):
        self.split({member_id}, seconds)

    def split(self, side, seconds):
        self.is_blocked = lambda a, b: (a in side) != (b in side)
        self.run(seconds)
        self.is_blocked = lambda a, b: False

    def break_path(self, first, second):
        self.is_blocked = lambda a, b: {a, b} == {first, second}

    def leave(self, member_id):
        process = self.processes[member_id]
        self._run_effects(process, process.protocol.leave([]))

    def lose(self, percent):
        self.loss_rate = percent / 100
        self.latency_range_s = (0.001, 0.15) if percent else (0.001, 0.001)

    def store(self, state):
        self.is_store_up = state == "up"

    def read_old_record_of(self, member_id):
        for process in self.processes.values():
            old = process.protocol.removed_by_id[member_id]
            self._run_effects(process, process.protocol.observe([old], self.now))

    def random_faults(self, seconds):
        end = self.now + seconds
        while self.now < end:
            member_id = self.rng.randrange(self.size)
            is_running = member_id in self.processes
            fault = self.rng.choice(["kill", "pause", "split", "start", "start"])
            if fault == "kill" and len(self.processes) > self.size // 2:
                self.kill(member_id)
            elif fault == "pause" and is_running:
                self.pause(member_id, self.rng.uniform(0.2, 8.0))
            elif fault == "start" and not is_running:
                self.start(member_id)
            elif fault == "split":
                side = set(self.rng.sample(range(self.size), self.size // 3))
                self.split(side, self.rng.uniform(0.2, 10.0))
            self.run(self.rng.uniform(0.2, 3.0))

    def apply(self):
        self.version += 1
        for process in list(self.processes.values()):
            self._schedule_head_read(process)

    def apply_seen_by(self, member_id):
        self.version += 1
        self._deliver_text(self.processes[member_id], self.version)

    def apply_during_faults(self, count):
        for _ in range(count):
            self.is_store_up = self.rng.random() < 0.6
            self.apply()
            self.random_faults(1)
        self.is_store_up = True
        self.apply()

    def restart_all_within(self, seconds):
        for member_id in range(self.size):
            self.kill(member_id)
            self.start(member_id)
            self.run(seconds / self.size)

    def run(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        self.now = end

    # Checks

    def agreement(self):
        running = set(self.processes)
        for process in self.processes.values():
            assert set(process.protocol.members_by_id) == running, process.id

    def knows(self, member_id, count):
        found = len(self.processes[member_id].protocol.members_by_id)
        assert found == count, found

    def settled_agreement(self):
        self.run(SETTLE_S)
        self.agreement()

    def nobody_ever_removed(self):
        assert not any(each.removals for each in self.processes.values())

    def member_gone(self, member_id):
        for process in self.processes.values():
            is_member = member_id in process.protocol.members_by_id
            assert process.id == member_id or not is_member, process.id

    def removal_noticed(self, member_id):
        process = self.processes[member_id]
        assert process.self_removal_count >= 1
        assert process.protocol.identity.incarnation > 1

    def roles_kept(self, member_id):
        assert self.processes[member_id].self_removal_count == 0

    def updates_bounded_and_ended(self):
        assert max(count for _, count in self.update_counts) <= MAX_UPDATES_PER_MESSAGE
        latest = [count for at, count in self.update_counts if at > self.now - 5.0]
        assert latest
        assert sum(latest) == 0, sum(latest)

    def same_outcome_in_any_order(self):
        updates = [
            MemberUpdate("visitor", "visitor:1", "Huye", incarnation, status)
            for incarnation in (1, 2, 3)
            for status in ("alive", "suspect", "removed", "left")
        ]
        outcomes = set()
        for _ in range(50):
            self.rng.shuffle(updates)
            reader = Process(Member("reader", "reader:1", "Huye", 1), 1, 0.0).protocol
            for update in updates * 2:
                reader.receive("peer", Ping(1, [update], 0, "", False), 0.0)
            outcomes.add((*reader.members_by_id, "removed", *reader.removed_by_id))
        assert len(outcomes) == 1, outcomes

    def all_have_version(self, version):
        found = [each.tracker.version for each in self.processes.values()]
        assert set(found) == {version}, found

    def settled_newest_version(self):
        self.run(SETTLE_S)
        self.all_have_version(self.version)

    def no_version_decreased(self):
        for process in self.processes.values():
            assert process.versions == sorted(set(process.versions)), process.versions

    # Messages and effects

    def _at(self, delay, function, *arguments):
        event = (self.now + delay, next(self.numbers), function, arguments)
        heapq.heappush(self.events, event)

    def _is_current(self, process):
        return self.processes.get(process.id) is process

    def _tick(self, process):
        if not self._is_current(process):
            return
        if process.paused_until > self.now:
            self._at(process.paused_until - self.now, self._tick, process)
            return
        self._run_effects(process, process.protocol.tick(self.now))
        self._run_effects(process, process.tracker.tick(self.now))
        self._at(TICK_S, self._tick, process)

    def _send(self, sender, to, message):
        if isinstance(message, Ping | PingRequest):
            self.update_counts.append((self.now, len(message.updates)))
        if self.rng.random() >= self.loss_rate:
            self._at(
                self.rng.uniform(*self.latency_range_s),
                self._deliver,
                sender,
                to,
                message,
            )

    def _deliver(self, sender, to, message):
        process = self.processes.get(to)
        if process is None or self.is_blocked(sender, to):
            return
        if process.paused_until > self.now:
            # The kernel buffers the messages to a stopped process.
            wait = process.paused_until - self.now + 0.001
            self._at(wait, self._deliver, sender, to, message)
            return
        self._exchange_hello(sender, process)
        if isinstance(message, Ping | Ack | PingRequest | Leaving):
            self._run_effects(
                process, process.protocol.receive(sender, message, self.now)
            )
        is_removed = sender in process.protocol.removed_by_id
        if not isinstance(message, PingRequest | Leaving) and not is_removed:
            self._run_effects(
                process, process.tracker.receive(sender, message, self.now)
            )

    def _exchange_hello(self, sender, process):
        """Exchange Hello on a new link before its first message."""
        pair = frozenset((sender, process.id))
        other = self.processes.get(sender)
        if pair not in self.sessions and other is not None:
            self.sessions.add(pair)
            for here, there in ((process, other), (other, process)):
                identity = there.protocol.identity
                self._run_effects(here, here.protocol.on_hello(identity, self.now))

    def _run_effects(self, process, effects):
        for effect in effects:
            match effect:
                case Send(to, message):
                    self._send(process.id, to, message)
                case Broadcast(message):
                    for to in set(process.protocol.members_by_id) - {process.id}:
                        self._send(process.id, to, message)
                case MembersChanged(_, removed):
                    process.removals.extend(removed)
                    for each in removed:
                        self.sessions.discard(frozenset((process.id, each)))
                    others = set(process.protocol.members_by_id) - {process.id}
                    self._run_effects(
                        process, process.tracker.set_peers(others, self.now)
                    )
                case SelfRemoved():
                    process.self_removal_count += 1
                case Adopted(version, text_digest, _):
                    process.versions.append(version)
                    process.protocol.set_version(version, text_digest)
                case ReadFromStore(version):
                    self._at(0.005, self._deliver_text, process, version)
                case Rejected():
                    raise AssertionError(effect)

    def _schedule_head_read(self, process):
        delay = self.rng.uniform(0.001, 0.005)
        self._at(delay, self._read_head, process, self.version)

    def _read_head(self, process, version):
        if not self.is_store_up or not self._is_current(process):
            return
        if version:
            head = (version, digest_of(version), 1, self.now)
            self._run_effects(process, process.tracker.on_store_head(*head))
        else:
            self._run_effects(process, process.tracker.on_no_newer_in_store(self.now))

    def _deliver_text(self, process, version):
        if self.is_store_up and self._is_current(process):
            text = (version, digest_of(version), text_of(version), self.now)
            self._run_effects(process, process.tracker.on_store_text(*text))
