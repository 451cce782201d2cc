"""Collects the messages of one gateway to the coordinator of a service."""

from __future__ import annotations

from collections import Counter

from banyanshelf_core.admission import AdmissionQueue
from banyanshelf_core.call_messages import AnswerSample
from banyanshelf_core.messages import Acquire, Holdings, Release
from banyanshelf_core.model import Epoch, MemberId, Send, ServiceName, UpstreamId
from banyanshelf_core.permits.ledger import slot_counts_of
from banyanshelf_core.permits.permit_counts import PermitCounts
from banyanshelf_core.upstream_health import FAILURES

# Samples wait at most this long for a message with released permits to go along with.
MAX_SAMPLE_DELAY_S = 0.05
SPARE_REQUEST_INTERVAL_S = 0.1
MAX_SAMPLES = 256


class Outbox:
    """Released permits, samples and demand since the last message.

    ``wants_flush`` is true if a message is due in this reactor turn.
    """

    def __init__(self, service_name: ServiceName) -> None:
        self.wants_flush = False
        self.permits_received = 0
        self._service_name = service_name
        self._released: Counter[UpstreamId] = Counter()
        self._samples: list[AnswerSample] = []
        self._oldest_sample_at: float | None = None
        self._sent_waiting = 0
        self._spare = 0
        self._spare_requested_at = float("-inf")

    def return_permit(self, upstream_id: UpstreamId) -> None:
        """Return one permit with the next message."""
        self._released[upstream_id] += 1
        self.wants_flush = True

    def add_sample(self, now: float, sample: AnswerSample) -> None:
        """Report how an attempt ended: failures at once, other results with a delay."""
        if len(self._samples) < MAX_SAMPLES:
            self._samples.append(sample)
        if self._oldest_sample_at is None:
            self._oldest_sample_at = now
        if sample.kind in FAILURES:
            self.wants_flush = True

    def request_spare(self, now: float) -> None:
        """Request one permit ahead of demand, unless one was requested recently."""
        if now - self._spare_requested_at >= SPARE_REQUEST_INTERVAL_S:
            self._spare_requested_at = now
            self._spare = 1
            self.wants_flush = True

    def note_grant(self, count: int) -> None:
        """Record received permits, each of which was granted for one waiting call."""
        self.permits_received += count
        self._sent_waiting = max(0, self._sent_waiting - count)

    def note_spare_received(self) -> None:
        """Allow another spare permit to be requested at once."""
        self._spare_requested_at = float("-inf")

    def tick(self, now: float) -> None:
        """Make a message due if the samples have waited long enough."""
        if (
            self._oldest_sample_at is not None
            and now - self._oldest_sample_at >= MAX_SAMPLE_DELAY_S
        ):
            self.wants_flush = True

    def restart(self) -> None:
        """Start a session; its holdings report makes pending releases unnecessary."""
        self._released.clear()
        self._sent_waiting = 0
        self.wants_flush = True

    def holdings(
        self,
        receiver: MemberId,
        epoch: Epoch,
        counts: PermitCounts,
        queue: AdmissionQueue,
    ) -> Send:
        """Return a message that reports all permits held."""
        return Send(
            receiver,
            Holdings(
                self._service_name,
                *epoch,
                slot_counts_of(counts.in_use),
                slot_counts_of(counts.idle),
                len(queue),
                self.permits_received,
            ),
        )

    def flush(self, now: float, epoch: Epoch, queue: AdmissionQueue) -> Send | None:
        """Return a message with all changes since the previous one, if any."""
        self.wants_flush = False
        waiting = len(queue)
        oldest = queue.oldest_arrival()
        oldest_wait_us = 0 if oldest is None else int((now - oldest) * 1e6)
        excluded = list(queue.excluded_by_all()) if waiting else []
        message: Release | Acquire
        if self._released or self._samples:
            message = Release(
                self._service_name,
                *epoch,
                slot_counts_of(self._released),
                waiting,
                oldest_wait_us,
                self._samples,
                self.permits_received,
                self._spare,
                excluded,
                queue.urgent_count(),
            )
            self._released = Counter()
            self._samples = []
            self._oldest_sample_at = None
        elif waiting or self._spare or self._sent_waiting:
            message = Acquire(
                self._service_name,
                *epoch,
                waiting,
                oldest_wait_us,
                self.permits_received,
                self._spare,
                excluded,
                queue.urgent_count(),
            )
        else:
            return None
        self._spare = 0
        self._sent_waiting = waiting
        return Send(epoch.member_id, message)
