"""Plays a schedule of faults and notes what each of them disturbs."""

from __future__ import annotations

import heapq
import itertools
import signal
import time
from collections import defaultdict
from collections.abc import Callable

from soak.checks import Span
from soak.proxy import Direction
from soak.schedule import (
    ChangeConfiguration,
    EvacuateZone,
    Fault,
    HangUpGateway,
    HarmLink,
    HarmStore,
    KillGateway,
    KillUpstream,
    PauseGateway,
    PauseUpstream,
    Planned,
    ReplaceUpstream,
    ResetLink,
    StepClock,
    StopGateway,
)
from soak.site import SoakSite

# A draining instance is ended this long after the store has accepted its leaving, so
# that work beyond the bound of 2 s is seen.
DRAIN_S = 4.5
POLL_S = 0.02
# No program can ignore a signal before its interpreter runs.
INTERPRETER_START_S = 0.1
# The entry of a killed instance is removed after about three heartbeats.
LAPSE_S = 4.5
Action = Callable[[], None]


class Injector:
    """Acts on a site from outside; see :class:`soak.checks.Record` for its notes."""

    def __init__(self, site: SoakSite) -> None:
        self._site = site
        self._due: list[tuple[float, int, Action]] = []
        self._numbers = itertools.count()
        self._busy_upstreams: set[int] = set()
        self._busy_gateways: set[int] = set()
        self._harmed_links: set[str] = set()
        self._is_store_harmed = False
        self._started_by_gateway: dict[int, float] = {}
        self.ended_by_themselves: list[str] = []
        self.disturbed_by_gateway: dict[int, list[Span]] = defaultdict(list)
        self.stopped_by_gateway: dict[int, list[Span]] = defaultdict(list)
        self.accepted_by_version: dict[int, float] = {}
        self.left_by_instance: dict[str, float] = {}
        self.evacuated_by_zone: dict[str, list[Span]] = defaultdict(list)

    def play(self, schedule: list[Planned]) -> None:
        """Inject each fault at its time and wait until all are over."""
        begin = time.monotonic()
        for planned in schedule:
            self._at(
                begin + planned.at, lambda fault=planned.fault: self._inject(fault)
            )
        while self._due:
            at, _, action = heapq.heappop(self._due)
            time.sleep(max(0.0, at - time.monotonic()))
            action()

    def restore(self) -> None:
        """Let paused processes go on, so that they can be ended."""
        for process in self._site.gateways:
            process.resume()

    def _at(self, at: float, action: Action) -> None:
        heapq.heappush(self._due, (at, next(self._numbers), action))

    def _after(self, delay_s: float, action: Action) -> None:
        self._at(time.monotonic() + delay_s, action)

    def _inject(self, fault: Fault) -> None:
        match fault:
            case HarmLink():
                self._harm_link(fault)
            case ResetLink(link):
                self._disturb_users(link, 0.0)
                self._site.reset_link(link)
            case HarmStore():
                self._harm_store(fault)
            case ChangeConfiguration():
                accepted = self._site.configure()
                self.accepted_by_version[self._site.version] = accepted
            case EvacuateZone(zone, for_s):
                accepted = self._site.evacuate(zone, is_evacuated=True)
                self._after(for_s, lambda: self._take_back(zone, accepted))
            case KillUpstream(number, down_s):
                self._kill_upstream(number, down_s)
            case PauseUpstream(number, for_s):
                self._pause_upstream(number, for_s)
            case ReplaceUpstream(number):
                self._replace_upstream(number)
            case _:
                self._inject_at_gateway(fault)

    def _inject_at_gateway(self, fault: Fault) -> None:
        match fault:
            case KillGateway(number, down_s):
                self._kill_gateway(number, down_s)
            case PauseGateway(number, for_s):
                self._pause_gateway(number, for_s)
            case StopGateway(number):
                self._stop_gateway(number)
            case HangUpGateway(number):
                self._hang_up_gateway(number)
            case StepClock(number, by_s, for_s):
                self._site.step_clock(number, by_s)
                self._after(for_s, lambda: self._site.step_clock(number, 0.0))

    # Gateways

    def _disturb(self, number: int, for_s: float) -> None:
        now = time.monotonic()
        self.disturbed_by_gateway[number].append(Span(now, now + for_s))

    def _disturb_all(self, for_s: float) -> None:
        for number in range(len(self._site.gateways)):
            self._disturb(number, for_s)

    def _kill_gateway(self, number: int, down_s: float) -> None:
        if number in self._busy_gateways:
            return
        self._busy_gateways.add(number)
        self._site.gateways[number].kill()
        begin = time.monotonic()
        self._after(down_s, lambda: self._start_gateway(number, begin))

    def _start_gateway(self, number: int, begin: float) -> None:
        self._site.gateways[number].start()
        self._started_by_gateway[number] = time.monotonic()
        self._await_gateway(number, begin)

    def _hang_up_gateway(self, number: int) -> None:
        started_at = self._started_by_gateway.get(number, 0.0)
        if time.monotonic() - started_at > INTERPRETER_START_S:
            self._site.gateways[number].signal(signal.SIGHUP)

    def _await_gateway(self, number: int, begin: float) -> None:
        """Count a gateway as disturbed until it is ready again."""
        process = self._site.gateways[number]
        if not process.running:
            self.ended_by_themselves.append(f"{process.id}: {process.exit_code}")
            self._start_gateway(number, begin)
            return
        if self._site.is_ready(number):
            now = time.monotonic()
            self.disturbed_by_gateway[number].append(Span(begin, now))
            self._busy_gateways.discard(number)
        else:
            self._after(POLL_S, lambda: self._await_gateway(number, begin))

    def _pause_gateway(self, number: int, for_s: float) -> None:
        if number in self._busy_gateways:
            return
        self._busy_gateways.add(number)
        self._disturb(number, for_s)
        self._site.gateways[number].pause()
        self._after(for_s, lambda: self._resume_gateway(number))

    def _resume_gateway(self, number: int) -> None:
        self._site.gateways[number].resume()
        self._busy_gateways.discard(number)

    def _stop_gateway(self, number: int) -> None:
        if number in self._busy_gateways:
            return
        self._busy_gateways.add(number)
        self._site.gateways[number].terminate()
        self._await_exit(number, time.monotonic())

    def _await_exit(self, number: int, begin: float) -> None:
        process = self._site.gateways[number]
        if process.running:
            self._after(POLL_S, lambda: self._await_exit(number, begin))
            return
        now = time.monotonic()
        self.stopped_by_gateway[number].append(Span(begin, now))
        self._start_gateway(number, now)

    # Upstreams

    def _kill_upstream(self, number: int, down_s: float) -> None:
        slot = self._site.slots[number]
        if number in self._busy_upstreams or slot.process is None:
            return
        self._busy_upstreams.add(number)
        self._disturb_all(down_s + LAPSE_S)
        slot.process.kill()
        # A crashed instance does not leave the store by itself.
        entry = f"servers/{slot.instance}"
        self._after(LAPSE_S, lambda: self._site.write({entry: None}))
        self._after(down_s, lambda: self._restart_upstream(number))

    def _restart_upstream(self, number: int) -> None:
        self._site.start_upstream(self._site.slots[number])
        self._busy_upstreams.discard(number)

    def _pause_upstream(self, number: int, for_s: float) -> None:
        process = self._site.slots[number].process
        if number in self._busy_upstreams or process is None:
            return
        self._busy_upstreams.add(number)
        self._disturb_all(for_s)
        process.pause()

        def resume() -> None:
            process.resume()
            self._busy_upstreams.discard(number)

        self._after(for_s, resume)

    def _replace_upstream(self, number: int) -> None:
        slot = self._site.slots[number]
        if number in self._busy_upstreams:
            return
        self._busy_upstreams.add(number)
        self.left_by_instance[slot.instance] = self._site.register(slot, "draining")

        def replace() -> None:
            self._site.unregister(slot)
            self._restart_upstream(number)

        self._after(DRAIN_S, replace)

    def _take_back(self, zone: str, accepted: float) -> None:
        # The store may answer after gateways have learned of it.
        span = Span(accepted, time.monotonic())
        self._site.evacuate(zone, is_evacuated=False)
        self.evacuated_by_zone[zone].append(span)

    # Links and store

    def _disturb_users(self, link: str, for_s: float) -> None:
        kind, _, number = link.partition("-")
        if kind == "store":
            self._disturb(int(number), for_s)
        else:
            self._disturb_all(for_s)

    def _harm_link(self, fault: HarmLink) -> None:
        if fault.link in self._harmed_links:
            return
        self._harmed_links.add(fault.link)
        self._disturb_users(fault.link, fault.for_s)
        self._site.set_link(fault.link, fault.delay_s, fault.dropped.value)

        def restore() -> None:
            self._harmed_links.discard(fault.link)
            self._site.set_link(fault.link, 0.0, Direction.NONE.value)
            # Bytes were lost, so that the connections cannot go on.
            self._site.reset_link(fault.link)

        self._after(fault.for_s, restore)

    def _harm_store(self, fault: HarmStore) -> None:
        if self._is_store_harmed:
            return
        self._is_store_harmed = True
        self._disturb_all(fault.for_s)
        self._site.set_store(
            store_down=fault.is_down,
            store_delay_s=fault.delay_s,
            drops_history=fault.drops_history,
        )

        def restore() -> None:
            self._is_store_harmed = False
            self._site.set_store(store_down=False, store_delay_s=0.0)

        self._after(fault.for_s, restore)
