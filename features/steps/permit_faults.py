"""Seeded random faults for a permit fleet, and checks of its invariants."""

from banyanshelf_core.model import UpstreamState

STEP_S = 0.005
# After this time a fault no longer affects the counts: the membership has detected it,
# a new coordinator has collected holdings, and calls of removed members have ended.
SETTLE_S = 6.0
REMOVAL_S = 2.0


class RandomFaults:
    """Injects link losses, pauses, kills and upstream changes into a fleet."""

    def __init__(self, fleet, rate, change_spacing_s):
        self.fleet = fleet
        self.rng = fleet.rng
        self.rate = rate
        self.last_fault = float("-inf")
        self.change_spacing_s = change_spacing_s
        self.next_change = 0.0
        self.views_differ_until = 0.0
        self.counts = {}
        self.removed = set()

    def run(self, seconds, fault_rate):
        """Start calls, inject faults and check the limits after each time step."""
        fleet = self.fleet
        for _ in range(round(seconds / STEP_S)):
            fleet.clock.advance(STEP_S)
            while self.rng.random() < self.rate * STEP_S / (1 + self.rate * STEP_S):
                self.start_call()
            if self.rng.random() < fault_rate * STEP_S:
                self.inject()
            self.check_limits()

    def start_call(self):
        """Start a call at a random gateway that is running."""
        usable = [
            each.id
            for each in self.fleet.gateways.values()
            if not each.clock.is_dead and not each.clock.is_paused
        ]
        self.fleet.call(
            self.rng.choice(usable),
            limit_s=self.rng.choice([0.2, 2.0]),
            depth=self.rng.randrange(3),
            caller_service=self.rng.choice(["", "catalogue"]),
            idempotent=self.rng.random() < 0.5,
            excluded=frozenset(
                self.rng.sample(
                    sorted(self.fleet.upstreams), self.rng.choice([0, 0, 1])
                )
            ),
        )

    def inject(self):
        """Inject one fault."""
        faults = [self.lose_link, self.lose_link, self.pause, self.remove, self.leave]
        fault = self.rng.choice(faults)
        self.counts[fault.__name__] = self.counts.get(fault.__name__, 0) + 1
        fault()

    def may_change_members(self):
        """Return whether the members may change now; if so, restart the spacing."""
        now = self.fleet.clock.seconds()
        if now < self.next_change:
            return False
        self.next_change = now + self.change_spacing_s
        return True

    def note_fault(self, duration_s):
        """Extend the time during which limits may be exceeded."""
        self.last_fault = max(self.last_fault, self.fleet.clock.seconds() + duration_s)

    def lose_link(self):
        """Cut a link for up to 1 s; half of the time it is one of a coordinator."""
        fleet = self.fleet
        first, second = self.rng.sample(sorted(fleet.gateways), 2)
        coordinators = sorted(fleet.coordinators())
        if coordinators and self.rng.random() < 0.5 and coordinators[0] != second:
            first = coordinators[0]
        duration = self.rng.uniform(0.002, 1.0)
        fleet.set_link(first, second, False)
        fleet.clock.callLater(duration, fleet.set_link, first, second, True)
        self.note_fault(duration)

    def pause(self):
        """Pause a gateway; during a long pause it is removed from the members."""
        fleet = self.fleet
        gateway = fleet.gateways[self.rng.choice(sorted(fleet.gateways))]
        if gateway.clock.is_paused or gateway.id in self.removed:
            return
        duration = self.rng.choice([0.05, 0.4, 4.0])
        if duration > REMOVAL_S and not self.may_change_members():
            return
        gateway.clock.is_paused = True
        fleet.clock.callLater(duration, gateway.clock.resume)
        if duration > REMOVAL_S:
            self.removed.add(gateway.id)
            fleet.clock.callLater(REMOVAL_S, self.set_members)
            fleet.clock.callLater(duration, self.restore, gateway.id)
        self.note_fault(duration)

    def remove(self):
        """Remove a running gateway from the members, as after lost pings."""
        fleet = self.fleet
        member_id = self.rng.choice(sorted(fleet.gateways))
        if member_id in self.removed or not self.may_change_members():
            return
        self.removed.add(member_id)
        self.set_members()
        duration = self.rng.uniform(0.1, 1.5)
        self.views_differ_until = fleet.clock.seconds() + duration + SETTLE_S
        fleet.clock.callLater(duration, self.restore, member_id)
        self.note_fault(duration)

    def restore(self, member_id):
        """Add a removed gateway to the members again, with a new incarnation."""
        self.removed.discard(member_id)
        self.set_members(renewed={member_id})

    def leave(self):
        """Mark an upstream as leaving for up to 1 s."""
        fleet = self.fleet
        upstream = fleet.upstreams[self.rng.choice(sorted(fleet.upstreams))]
        leaving = upstream._replace(state=UpstreamState.LEAVING)
        live = upstream._replace(state=UpstreamState.LIVE)
        fleet.set_upstream(leaving)
        duration = self.rng.uniform(0.05, 1.0)
        fleet.clock.callLater(duration, fleet.set_upstream, live)

    def set_members(self, renewed=frozenset()):
        """Set the members of all gateways to those that are not removed by a fault."""
        fleet = self.fleet
        fleet.set_members(
            [each for each in fleet.gateways if each not in self.removed],
            renewed,
        )

    def check_limits(self):
        """Check the number of calls that run on each upstream."""
        fleet = self.fleet
        now = fleet.clock.seconds()
        is_settled = now > self.last_fault + SETTLE_S
        # A member that was removed while it runs computes its local share from other
        # members than the rest.
        factor = 1 if is_settled else 3 if now < self.views_differ_until else 2
        for upstream_id, running in fleet.running.items():
            slots = fleet.upstreams[upstream_id].slots
            limit = factor * slots
            assert running <= limit, (
                f"{upstream_id} runs {running} calls with {slots} slots at "
                f"{now:.3f} s; at most {limit} are allowed"
            )

    def check_ledger(self):
        """Check that the coordinator counts exactly what the gateways hold."""
        fleet = self.fleet
        (coordinator,) = fleet.coordinators().values()
        total = {}
        for gateway in fleet.gateways.values():
            holder = gateway.coordination.holders_by_service["desk"]
            account = coordinator.ledger.accounts_by_member[gateway.id]
            held = holder.counts.idle + holder.counts.in_use
            assert +account.held == +held, (gateway.id, account.held, held)
            assert not holder.counts.in_use and not len(holder.queue), gateway.id
            for upstream_id, count in held.items():
                total[upstream_id] = total.get(upstream_id, 0) + count
        assert +coordinator.ledger.outstanding == total, (
            coordinator.ledger.outstanding,
            total,
        )
