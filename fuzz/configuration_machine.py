"""State machine that spreads configuration versions through random faults.

Oracle:

- the version in effect never decreases in a process;
- a version in effect was accepted by the store and has the accepted text;
- after all faults have ended, every member has the highest accepted version.
"""

from __future__ import annotations

from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from banyanshelf_core.configuration import (
    Adopted,
    ConfigurationEffect,
    ConfigurationTracker,
    ReadFromStore,
)
from banyanshelf_core.hashing import digest
from banyanshelf_core.messages import ConfigText, PeerMessage, Ping
from banyanshelf_core.model import Send

MEMBERS = ("a", "b", "c", "d")

indexes = st.integers(0, 7)
member_ids = st.sampled_from(MEMBERS)


def text_of(version: int) -> str:
    """Return a usable text that differs between versions."""
    return f"[services.desk]\ntimeout_ms = {1000 + version}\n"


class ConfigurationMachine(RuleBasedStateMachine):
    """Accepted versions, lost and repeated messages, restarts and store outages."""

    def __init__(self) -> None:
        super().__init__()
        self.rng = Random(1)
        self.now = 0.0
        self.accepted = 0
        self.messages: list[tuple[str, str, PeerMessage]] = []
        self.reads: list[tuple[ConfigurationTracker, ReadFromStore]] = []
        self.tracker_by_id: dict[str, ConfigurationTracker] = {}
        self.highest_by_id: dict[str, int] = {}
        for member_id in MEMBERS:
            self.start(member_id)

    def start(self, member_id: str) -> None:
        """Start a process without any version."""
        tracker = ConfigurationTracker(self.rng)
        self.tracker_by_id[member_id] = tracker
        self.highest_by_id[member_id] = 0
        others = [each for each in MEMBERS if each != member_id]
        self.apply(member_id, tracker.set_peers(others, self.now))

    def apply(self, member_id: str, effects: list[ConfigurationEffect]) -> None:
        """Put messages and reads on their way, and check adopted versions."""
        for effect in effects:
            match effect:
                case Send(to=to, message=message):
                    self.messages.append((to, member_id, message))
                case ReadFromStore():
                    self.reads.append((self.tracker_by_id[member_id], effect))
                case Adopted(version=version, text=text):
                    assert version > self.highest_by_id[member_id], "version went back"
                    assert 1 <= version <= self.accepted, "version was not accepted"
                    assert text == text_of(version), "text of another version"
                    self.highest_by_id[member_id] = version

    @rule()
    def accept(self) -> None:
        """Accept the next version in the store."""
        self.accepted += 1

    @rule(member_id=member_ids, lag=st.integers(0, 2))
    def watch(self, member_id: str, lag: int) -> None:
        """Tell a member of the store's head, possibly of an earlier one."""
        version = self.accepted - lag
        tracker = self.tracker_by_id[member_id]
        if version <= 0:
            self.apply(member_id, tracker.on_no_newer_in_store(self.now))
            return
        hexadecimal = digest(text_of(version).encode())
        self.apply(member_id, tracker.on_store_head(version, hexadecimal, 1, self.now))

    @rule(index=indexes, is_lost=st.booleans())
    def end_read(self, index: int, is_lost: bool) -> None:
        """Answer a read of a text, or lose it."""
        if not self.reads:
            return
        tracker, read = self.reads.pop(index % len(self.reads))
        for member_id, current in self.tracker_by_id.items():
            if current is tracker and not is_lost:
                text = text_of(read.version)
                effects = tracker.on_store_text(
                    read.version, read.digest, text, self.now
                )
                self.apply(member_id, effects)

    @rule(index=indexes, keep=st.booleans())
    def deliver(self, index: int, keep: bool) -> None:
        """Deliver a message out of order, possibly once more later."""
        if self.messages:
            index %= len(self.messages)
            to, sender, message = self.messages[index]
            if not keep:
                del self.messages[index]
            effects = self.tracker_by_id[to].receive(sender, message, self.now)
            self.apply(to, effects)

    @rule(index=indexes)
    def lose_message(self, index: int) -> None:
        """Lose a message."""
        if self.messages:
            del self.messages[index % len(self.messages)]

    @rule(member_id=member_ids, version=st.integers(1, 9))
    def send_wrong_text(self, member_id: str, version: int) -> None:
        """Send a text that was damaged on its way."""
        hexadecimal = digest(text_of(version).encode())
        text = ConfigText(version, hexadecimal, text_of(version + 1))
        self.messages.append((member_id, MEMBERS[0], text))

    @rule(sender=member_ids, to=member_ids)
    def ping(self, sender: str, to: str) -> None:
        """Send a membership ping with the sender's version."""
        if sender != to:
            tracker = self.tracker_by_id[sender]
            ping = Ping(1, [], tracker.version, tracker.digest, 0)
            self.messages.append((to, sender, ping))

    @rule(member_id=member_ids)
    def restart(self, member_id: str) -> None:
        """Replace a process by a new one."""
        self.start(member_id)

    @rule(seconds=st.sampled_from([0.1, 0.6, 1.1]))
    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds
        for member_id, tracker in self.tracker_by_id.items():
            self.apply(member_id, tracker.tick(self.now))

    @invariant()
    def versions_never_decrease(self) -> None:
        """Compare the versions in effect with the highest ones of each process."""
        for member_id, tracker in self.tracker_by_id.items():
            assert tracker.version == self.highest_by_id[member_id]

    def teardown(self) -> None:
        """End all faults; pings alone must spread the version that one member has."""
        self.accept()
        self.watch(MEMBERS[0], 0)
        while self.reads:
            self.end_read(0, False)
        for _ in range(12):
            for sender in MEMBERS:
                for to in MEMBERS:
                    self.ping(sender, to)
            while self.messages:
                self.deliver(0, False)
            self.advance(0.6)
        versions = {each.version for each in self.tracker_by_id.values()}
        assert versions == {self.accepted}, f"{versions} of {self.accepted}"
