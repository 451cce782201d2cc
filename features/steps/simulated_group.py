"""A group of members on a simulated clock: core code only, with faults on the way."""

import heapq
import itertools
import random

from banyanshelf_core.configuration import (
    Adopted,
    ConfigurationKeeper,
    ReadFromStore,
    Rejected,
)
from banyanshelf_core.hashing import digest
from banyanshelf_core.membership import (
    MembersChanged,
    MembershipProtocol,
    SelfRemoved,
)
from banyanshelf_core.messages import Ack, Leaving, Ping, PingRequest
from banyanshelf_core.model import Broadcast, Member, Send

TICK_S = 0.1
MEMBERSHIP = (Ping, Ack, PingRequest, Leaving)
CONFIGURATION = ("Ping", "Ack", "ConfigNotice", "ConfigFetch", "ConfigText")


def text_of(version):
    return f'[services.desk]\nhosts = ["desk-{version}.example"]\n'


def digest_of(version):
    return digest(text_of(version).encode())


class Process:
    """One daemon process; a restart makes a new one with the same id."""

    def __init__(self, member, seed, now):
        self.member_id = member.id
        self.protocol = MembershipProtocol(member, random.Random(seed), now)
        self.keeper = ConfigurationKeeper(random.Random(seed + 1))
        self.paused_until = 0.0
        self.self_removed = 0
        self.versions = []
        self.rejected = []
        self.changes = []
        self.acted_while_removed = False


class SimulatedGroup:
    """Processes, the store's records and the messages on their way."""

    def __init__(self, size, seed):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.numbers = itertools.count()
        self.events = []
        self.processes = {}
        self.sessions = set()
        self.loss = 0.0
        self.latency = (0.001, 0.001)
        self.blocked = lambda sender, receiver: False
        self.store_up = True
        self.version = 0
        self.sent = []
        self.ids = [f"gateway-{index}" for index in range(size)]
        for member_id in self.ids:
            self.start(member_id)
        self.read_members()

    def member(self, member_id):
        """Return a member with an incarnation of the present time."""
        incarnation = 1 + int(self.now * 1000)
        return Member(member_id, f"{member_id}:1", "Huye", incarnation)

    def start(self, member_id):
        """Start a new process."""
        seed = self.rng.randrange(1 << 30)
        process = Process(self.member(member_id), seed, self.now)
        self.processes[member_id] = process
        self.sessions = {pair for pair in self.sessions if member_id not in pair}
        self.at(self.rng.uniform(0, TICK_S), self.tick, process)
        if self.store_up:
            self.read_head(process)
        return process

    def read_members(self):
        """Give every process all records, as the store would."""
        members = [each.protocol.identity for each in self.processes.values()]
        for process in list(self.processes.values()):
            process.protocol.mark_complete()
            self.run(process, process.protocol.observe(members, self.now))

    def kill(self, member_id):
        """End a process without notice."""
        self.processes.pop(member_id, None)

    def pause(self, member_id, seconds):
        """Stop a process for a while; its messages wait."""
        self.processes[member_id].paused_until = self.now + seconds

    def at(self, delay, function, *arguments):
        """Call a function after a delay."""
        event = (self.now + delay, next(self.numbers), function, arguments)
        heapq.heappush(self.events, event)

    def run_for(self, seconds):
        """Advance the clock."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        self.now = end

    def is_current(self, process):
        """Return whether a process still runs."""
        return self.processes.get(process.member_id) is process

    def tick(self, process):
        """Run the periodic work of a process."""
        if not self.is_current(process):
            return
        if process.paused_until > self.now:
            self.at(process.paused_until - self.now, self.tick, process)
            return
        self.run(process, process.protocol.tick(self.now))
        self.run(process, process.keeper.tick(self.now))
        self.at(TICK_S, self.tick, process)

    def send(self, sender, to, message):
        """Put a message on its way, or lose it."""
        self.sent.append((self.now, sender, to, message))
        if self.rng.random() >= self.loss:
            delay = self.rng.uniform(*self.latency)
            self.at(delay, self.deliver, sender, to, message)

    def deliver(self, sender, to, message):
        """Hand a message to its receiver."""
        process = self.processes.get(to)
        if process is None or self.blocked(sender, to):
            return
        if process.paused_until > self.now:
            # The kernel keeps the bytes of a stopped process.
            wait = process.paused_until - self.now
            self.at(wait + 0.001, self.deliver, sender, to, message)
            return
        self.introduce(sender, process)
        if isinstance(message, MEMBERSHIP):
            self.run(process, process.protocol.receive(sender, message, self.now))
        is_removed = sender in process.protocol.removed_by_id
        if type(message).__name__ in CONFIGURATION and not is_removed:
            self.run(process, process.keeper.receive(sender, message, self.now))

    def introduce(self, sender, process):
        """Exchange Hello when a message crosses a new link."""
        pair = frozenset((sender, process.member_id))
        other = self.processes.get(sender)
        if pair not in self.sessions and other is not None:
            self.sessions.add(pair)
            for here, there in ((process, other), (other, process)):
                identity = there.protocol.identity
                self.run(here, here.protocol.on_hello(identity, self.now))

    def run(self, process, effects):
        """Carry out the effects of a process."""
        for effect in effects:
            match effect:
                case Send(to, message):
                    self.send(process.member_id, to, message)
                case Broadcast(message):
                    for to in process.protocol.members_by_id:
                        if to != process.member_id:
                            self.send(process.member_id, to, message)
                case MembersChanged(_, removed):
                    process.changes.append(effect)
                    for each in removed:
                        self.sessions.discard(frozenset((process.member_id, each)))
                    others = set(process.protocol.members_by_id) - {process.member_id}
                    self.run(process, process.keeper.set_peers(others, self.now))
                case SelfRemoved():
                    process.self_removed += 1
                case Adopted(version, text_digest, _):
                    process.versions.append(version)
                    process.protocol.set_version(version, text_digest)
                case ReadFromStore(version, text_digest, _):
                    delay = self.rng.uniform(0.002, 0.01)
                    self.at(delay, self.read_text, process, version, text_digest)
                case Rejected():
                    process.rejected.append(effect)

    # Configuration records

    def apply(self):
        """Accept the next version in the store; members see it if the store is up."""
        self.version += 1
        if self.store_up:
            for process in list(self.processes.values()):
                self.read_head(process)

    def read_head(self, process):
        """Let a process see the present head soon."""
        self.at(self.rng.uniform(0.001, 0.005), self.see_head, process, self.version)

    def see_head(self, process, version):
        """Give a head to a process if the store is up."""
        if not self.store_up or not self.is_current(process):
            return
        if version:
            head = (version, digest_of(version), 1, self.now)
            self.run(process, process.keeper.store_head(*head))
        else:
            self.run(process, process.keeper.store_empty(self.now))

    def read_text(self, process, version, text_digest):
        """Give a text to a process if the store is up."""
        if self.store_up and self.is_current(process):
            text = (version, text_digest, text_of(version), self.now)
            self.run(process, process.keeper.store_text(*text))

    # Observations

    def views(self):
        """Return the live members from each point of view."""
        return {
            member_id: set(process.protocol.members_by_id)
            for member_id, process in self.processes.items()
        }

    def disagreeing(self):
        """Return the views that differ from the running processes."""
        alive = set(self.processes)
        return {
            key: alive ^ view for key, view in self.views().items() if view != alive
        }
