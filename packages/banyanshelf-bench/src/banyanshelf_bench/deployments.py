"""Shapes and operators' texts of the two deployments."""

from __future__ import annotations

from typing import Any, NamedTuple

from banyanshelf_bench.fleet import BackendSpec, DaemonSpec, FleetShape

FULL_FLEET = 14

UMUJYI_TEXT = """\
policy = "{policy}"

[measuring]
probe_share = 0.005
control_bytes_per_second = 262144

[services.desk]
hosts = ["desk.umujyi.example"]
slots_per_upstream = 3
timeout_ms = {timeout_ms}
depends_on = ["catalogue"]

[[services.desk.routes]]
path_prefix = "/payments"
methods = ["POST"]
require_key = true

[services.catalogue]
hosts = ["catalogue.umujyi.example"]
slots_per_upstream = 3
timeout_ms = {timeout_ms}
"""

PITON_TEXT = """\
policy = "{policy}"

[measuring]
probe_share = 0.005
probe_cost_ms = 6
control_bytes_per_second = 262144

[services.orders]
hosts = ["orders.piton.example"]
slots_per_upstream = 2
timeout_ms = {timeout_ms}
depends_on = ["fittings"]

[[services.orders.routes]]
path_prefix = "/commissions"
methods = ["POST"]
require_key = true

[services.fittings]
hosts = ["fittings.piton.example"]
slots_per_upstream = 2
timeout_ms = {timeout_ms}
"""


class Deployment(NamedTuple):
    """One customer: zones, services with their upstream counts, slots and text."""

    name: str
    zones: tuple[str, ...]
    upstreams_by_service: dict[str, int]
    slots: int
    probe_ms: float
    text: str

    @property
    def services(self) -> list[str]:
        """Service names, the one with payments or commissions first."""
        return list(self.upstreams_by_service)

    def host(self, service: str) -> str:
        """Return the host name of a service."""
        return f"{service}.{self.name}.example"

    @property
    def payment_path(self) -> str:
        """Path of the calls that must run at most once."""
        return "/payments" if self.name == "umujyi" else "/commissions"

    def operators_text(self, policy: str = "permits", timeout_ms: int = 2000) -> str:
        """Return the operators' text with a policy and a time limit."""
        return self.text.format(policy=policy, timeout_ms=timeout_ms)

    def shape(
        self,
        daemons: int = FULL_FLEET,
        policy: str = "permits",
        upstreams: int | None = None,
        timeout_ms: int = 2000,
        mean_ms: float = 20.0,
        daemon_flags: dict[str, Any] | None = None,
        backend_flags: dict[str, Any] | None = None,
    ) -> FleetShape:
        """Return a fleet of this deployment.

        ``upstreams`` is the number of backend servers per service, by default that of
        the deployment.
        """
        settings = daemon_flags or {}
        gateways = [
            DaemonSpec(f"gateway-{number + 1}", self._zone(number), settings)
            for number in range(daemons)
        ]
        flags = {"mean_ms": mean_ms, "probe_ms": self.probe_ms, **(backend_flags or {})}
        backends = [
            BackendSpec(
                f"{service}-{number + 1}",
                service,
                self._zone(number),
                self.slots,
                flags,
            )
            for service, own_count in self.upstreams_by_service.items()
            for number in range(own_count if upstreams is None else upstreams)
        ]
        text = self.operators_text(policy, timeout_ms)
        return FleetShape(text, gateways, backends)

    def _zone(self, number: int) -> str:
        return self.zones[number % len(self.zones)]


UMUJYI = Deployment(
    "umujyi",
    ("Huye", "Nyanza", "Gisagara"),
    {"desk": 13, "catalogue": 14},
    3,
    6.0,
    UMUJYI_TEXT,
)
PITON = Deployment(
    "piton",
    ("Port Louis", "Moka", "Curepipe", "Mahébourg"),
    {"orders": 13, "fittings": 14},
    2,
    6.0,
    PITON_TEXT,
)
DEPLOYMENT_BY_NAME = {deployment.name: deployment for deployment in (UMUJYI, PITON)}
