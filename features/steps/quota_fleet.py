"""Gateways in some zones whose callers belong to workspaces with a quota."""

import random
from collections import Counter, defaultdict

from simulated_admissions import STEP_S, TARGET_S, AdmissionZone
from simulated_gossip import LoadZone

from banyanshelf_core.datagrams import QuotaDraw, QuotaGrant
from banyanshelf_core.model import Upstream
from banyanshelf_core.quota_bank import QuotaTerms
from banyanshelf_core.replica import ORIGIN
from banyanshelf_core.text import Workspace
from banyanshelf_daemon.interfaces import QuotaExceededError
from banyanshelf_daemon.shared_admission import SharedAdmission
from banyanshelf_wire.datagram import decode_datagram

UPSTREAMS = 30
SLOTS = 12
CALL_S = 0.05
START_S = 4.0
# The target has passed.
LATE_TARGET_S = -0.1


class QuotaFleet(AdmissionZone):
    """Counts the requests that each workspace sends, and those that are refused."""

    def __init__(self, gateways, zones, workspaces, per_s, seed=1):
        self.zones = [f"zone-{number}" for number in range(zones)]
        self.per_s = per_s
        self.names = [f"w{number}" for number in range(workspaces)]
        self.sent = defaultdict(list)
        self.over_quota, self.otherwise_refused = Counter(), Counter()
        self.refusal_waits = []
        self.quota_datagrams = 0
        self.counted_from = 0.0
        self.paused_s = 0.0
        self.callers_in = None
        self.late_share = 0.0
        self.late_sent = Counter()
        super().__init__(
            gateways,
            UPSTREAMS,
            SLOTS,
            random.Random(seed),
            zone_of=lambda number: self.zones[number % zones],
        )
        quota = Workspace(requests_per_s=per_s, burst=per_s)
        self.directory.change_text(workspaces=dict.fromkeys(self.names, quota))
        self.settle(START_S)

    def upstream_of(self, number, slots):
        zone = self.zones[number % len(self.zones)]
        name = f"u{number + 1}"
        return Upstream(name, "desk", f"127.1.0.{number + 1}:80", zone, slots)

    def add_sharing(self, name, link):
        admission = SharedAdmission(
            self.reactor,
            link.members.identity.zone,
            self.directory,
            self.directory,
            link,
            random.Random(name),
            lambda upstream, **options: self._probe(name, upstream, **options),
            lambda: (ORIGIN, 0.0),
            QuotaTerms(zones=len(self.zones)),
            lambda: self.reactor.seconds() + self.paused_s,
        )
        admission.start()
        return admission

    def post(self, name, source, content, address):
        # The first two bytes of a datagram tell its type.
        if content[1] in (14, 15):
            assert isinstance(decode_datagram(content), QuotaDraw | QuotaGrant)
            self.quota_datagrams += 1
        LoadZone.post(self, name, source, content, address)

    def call(self, name, workspace):
        asked_at = self.reactor.seconds()
        is_late = self.rng.random() < self.late_share
        target_s = LATE_TARGET_S if is_late else TARGET_S
        call = self.place(name, target_s, workspace)
        call.admission = self.sharings[name]

        def ended():
            if self.sharings.get(name) is call.admission:
                call.end()

        def started(_result):
            now = self.reactor.seconds()
            if call.permit is not None:
                self.sent[workspace].append(now)
                self.late_sent[workspace] += is_late
                self.reactor.callLater(CALL_S, ended)
            elif isinstance(call.error, QuotaExceededError):
                self.over_quota[workspace] += 1
                self.refusal_waits.append(now - asked_at)
            else:
                self.otherwise_refused[workspace] += 1

        call.deferred.addBoth(started)

    def run(self, seconds, rates):
        """Make ``rates`` requests a second by workspace, from all gateways."""
        self.over_quota.clear()
        self.refusal_waits.clear()
        self.quota_datagrams, self.counted_from = 0, self.reactor.seconds()
        due = Counter()
        for _ in range(round(seconds / STEP_S)):
            names = [
                each
                for each in self.sharings
                if self.callers_in in (None, self._zone_of(int(each[1:])))
            ]
            for workspace, rate in rates.items():
                due[workspace] += rate * STEP_S * self.rng.uniform(0.0, 2.0)
                while due[workspace] >= 1:
                    due[workspace] -= 1
                    self.call(self.rng.choice(names), workspace)
            self.reactor.advance(STEP_S)
            self.calls.clear()

    def keepers(self):
        return [
            name
            for name, admission in self.sharings.items()
            if admission.quotas.keeper.is_bank
        ]
