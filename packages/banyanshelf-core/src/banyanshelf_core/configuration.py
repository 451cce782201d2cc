"""Tracks which version of the operators' text is in effect at one member.

Versions only increase. A text is adopted if its version is higher than the one in
effect, its digest matches and it can be parsed. Members announce versions to each other
in notices, pings and acks; the store is one more source.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from banyanshelf_core.errors import TextError
from banyanshelf_core.hashing import digest as digest_of
from banyanshelf_core.messages import Ack, ConfigFetch, ConfigNotice, ConfigText, Ping
from banyanshelf_core.model import MemberId, Send
from banyanshelf_core.text import OperatorText, parse_text

GOSSIP_FANOUT = 3
FETCH_TIMEOUT_S = 1.0
# After the first candidate at startup, the store and the peers have this long to answer
# with a newer version.
STARTUP_COLLECTION_S = 1.0
MAX_OFFERED_VERSIONS = 16
MAX_UNUSABLE_DIGESTS = 64


@dataclass(frozen=True, slots=True)
class Adopted:
    """Effect: this version is now in effect."""

    version: int
    digest: str
    text: str


@dataclass(frozen=True, slots=True)
class ReadFromStore:
    """Effect: read the parts of this version from the store."""

    version: int
    digest: str
    parts: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """Effect: a text was not adopted; ``source`` is a member id or ``store``."""

    version: int
    digest: str
    source: str
    reason: str


ConfigurationMessage = ConfigNotice | ConfigFetch | ConfigText | Ping | Ack
ConfigurationEffect = Send | Adopted | ReadFromStore | Rejected
STORE_SOURCE = "store"


@dataclass(frozen=True, slots=True)
class _Candidate:
    version: int
    digest: str
    text: str
    parsed: OperatorText


@dataclass(slots=True)
class _Fetch:
    member_id: MemberId
    version: int
    deadline: float


class ConfigurationTracker:
    """Holds the version in effect and adopts higher ones.

    Before the first version, candidates are collected from the store and up to three
    peers until all of them have answered or ``STARTUP_COLLECTION_S`` has passed since
    the first candidate. The highest one is adopted, so that a stale source does not
    bring an earlier version into effect.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._peers: list[MemberId] = []
        self._current: _Candidate | None = None
        self._pending_candidate: _Candidate | None = None
        self._adopt_at = 0.0
        self._pending_peers: set[MemberId] = set()
        self._has_store_answered = False
        self._offers: dict[int, dict[MemberId, str]] = {}
        self._fetch: _Fetch | None = None
        self._unusable_digests: list[str] = []

    @property
    def version(self) -> int:
        """The version in effect; 0 before the first one."""
        return self._current.version if self._current else 0

    @property
    def digest(self) -> str:
        """The digest of the text in effect; empty before the first one."""
        return self._current.digest if self._current else ""

    @property
    def text(self) -> str:
        """The text in effect; empty before the first one."""
        return self._current.text if self._current else ""

    @property
    def parsed(self) -> OperatorText | None:
        """The parsed text in effect, or None before the first one."""
        return self._current.parsed if self._current else None

    @property
    def offers(self) -> dict[int, dict[MemberId, str]]:
        """Digests of announced higher versions, by version and announcing member."""
        return self._offers

    def set_peers(
        self, member_ids: Iterable[MemberId], now: float
    ) -> list[ConfigurationEffect]:
        """Set the other live members; before the first version, ask up to three.

        The limit counts peers that were asked earlier and have not answered yet.
        """
        self._peers = sorted(member_ids)
        self._pending_peers &= set(self._peers)
        effects: list[ConfigurationEffect] = []
        if self._current is None:
            unasked = [each for each in self._peers if each not in self._pending_peers]
            room = GOSSIP_FANOUT - len(self._pending_peers)
            for each in self._rng.sample(unasked, max(0, min(room, len(unasked)))):
                self._pending_peers.add(each)
                effects.append(Send(each, ConfigFetch(0)))
        return effects + self._adopt_if_ready(now)

    def on_link_up(self, member_id: MemberId) -> list[ConfigurationEffect]:
        """Ask a peer again whose request may have been lost before its link was up."""
        if self._current is None and member_id in self._pending_peers:
            return [Send(member_id, ConfigFetch(0))]
        return []

    def on_store_head(
        self, version: int, digest: str, parts: int, now: float
    ) -> list[ConfigurationEffect]:
        """Handle the head record of the store; reads its text if the version is new."""
        if version <= self._known_version() or digest in self._unusable_digests:
            return self.on_no_newer_in_store(now)
        return [ReadFromStore(version, digest, parts)]

    def on_no_newer_in_store(self, now: float) -> list[ConfigurationEffect]:
        """Record that the store has no higher version."""
        self._has_store_answered = True
        return self._adopt_if_ready(now)

    def on_store_text(
        self, version: int, digest: str, text: str, now: float
    ) -> list[ConfigurationEffect]:
        """Handle a text that was read from the store."""
        self._has_store_answered = True
        effects = self._consider_text(
            STORE_SOURCE, ConfigText(version, digest, text), now
        )
        return effects + self._adopt_if_ready(now)

    def receive(
        self, sender: MemberId, message: ConfigurationMessage, now: float
    ) -> list[ConfigurationEffect]:
        """Handle a message from another member."""
        match message:
            case Ping() | Ack():
                effects = self._handle_announcement(
                    sender, message.config_version, message.config_digest, now
                )
            case ConfigNotice():
                self._mark_answered(sender)
                effects = self._handle_announcement(
                    sender, message.version, message.digest, now
                )
            case ConfigFetch():
                return [Send(sender, self._answer_fetch(message))]
            case ConfigText():
                self._mark_answered(sender)
                effects = self._consider_text(sender, message, now)
        return effects + self._adopt_if_ready(now)

    def tick(self, now: float) -> list[ConfigurationEffect]:
        """Retry a fetch that timed out and end the collection at startup when due."""
        effects = self._adopt_if_ready(now)
        if self._fetch is not None and now >= self._fetch.deadline:
            self._drop_offers_of(self._fetch.member_id)
            effects.extend(self._fetch_next(now))
        return effects

    def _known_version(self) -> int:
        candidate = self._pending_candidate.version if self._pending_candidate else 0
        return max(self.version, candidate)

    def _answer_fetch(self, message: ConfigFetch) -> ConfigText | ConfigNotice:
        current = self._current
        if current is not None and current.version > message.above_version:
            return ConfigText(current.version, current.digest, current.text)
        return ConfigNotice(self.version, self.digest)

    def _mark_answered(self, sender: MemberId) -> None:
        self._pending_peers.discard(sender)
        if self._fetch is not None and self._fetch.member_id == sender:
            self._fetch = None

    def _handle_announcement(
        self, sender: MemberId, version: int, digest: str, now: float
    ) -> list[ConfigurationEffect]:
        if version <= self._known_version() or digest in self._unusable_digests:
            return []
        if version not in self._offers and len(self._offers) >= MAX_OFFERED_VERSIONS:
            del self._offers[min(self._offers)]
        self._offers.setdefault(version, {})[sender] = digest
        if self._fetch is not None and self._fetch.version >= version:
            return []
        return self._fetch_next(now)

    def _fetch_next(self, now: float) -> list[ConfigurationEffect]:
        self._fetch = None
        if not self._offers:
            return []
        version = max(self._offers)
        member_id = self._rng.choice(sorted(self._offers[version]))
        self._fetch = _Fetch(member_id, version, now + FETCH_TIMEOUT_S)
        return [Send(member_id, ConfigFetch(self._known_version()))]

    def _drop_offers_of(self, member_id: MemberId) -> None:
        for version in list(self._offers):
            self._offers[version].pop(member_id, None)
            if not self._offers[version]:
                del self._offers[version]

    def _consider_text(
        self, source: str, message: ConfigText, now: float
    ) -> list[ConfigurationEffect]:
        if message.version <= self._known_version():
            return []
        if digest_of(message.text.encode()) != message.digest:
            return self._reject(source, message, "the digest does not match", now)
        try:
            parsed = parse_text(message.text)
        except TextError as error:
            self._unusable_digests = [*self._unusable_digests, message.digest][
                -MAX_UNUSABLE_DIGESTS:
            ]
            self._offers.pop(message.version, None)
            return self._reject(source, message, str(error), now)
        candidate = _Candidate(message.version, message.digest, message.text, parsed)
        for version in [each for each in self._offers if each <= candidate.version]:
            del self._offers[version]
        if self._pending_candidate is None:
            self._adopt_at = now + STARTUP_COLLECTION_S
        self._pending_candidate = candidate
        return self._adopt_if_ready(now)

    def _reject(
        self, source: str, message: ConfigText, reason: str, now: float
    ) -> list[ConfigurationEffect]:
        self._drop_offers_of(source)
        rejected = Rejected(message.version, message.digest, source, reason)
        return [rejected, *self._fetch_next(now)]

    def _adopt_if_ready(self, now: float) -> list[ConfigurationEffect]:
        candidate = self._pending_candidate
        if candidate is None:
            return []
        is_waiting = (
            bool(self._pending_peers or self._offers) or not self._has_store_answered
        )
        if self._current is None and is_waiting and now < self._adopt_at:
            return []
        self._pending_candidate = None
        self._pending_peers = set()
        self._current = candidate
        notice = ConfigNotice(candidate.version, candidate.digest)
        notified = self._rng.sample(self._peers, min(GOSSIP_FANOUT, len(self._peers)))
        return [
            Adopted(candidate.version, candidate.digest, candidate.text),
            *(Send(each, notice) for each in notified),
        ]
