"""Settings of the daemon, from flags and ``BANYANSHELF_*`` environment variables.

A flag takes precedence over its variable. The field ``peer_listen`` is the flag
``--peer-listen`` and the variable ``BANYANSHELF_PEER_LISTEN``. Unknown names are
rejected.
"""

from __future__ import annotations

import inspect
from collections.abc import Mapping
from ipaddress import ip_address
from typing import Annotated, Any, NamedTuple

import msgspec

from banyanshelf_core.errors import SettingsError

ENVIRONMENT_PREFIX = "BANYANSHELF_"


MAX_PORT = 65535
MAX_PORT_DIGITS = 5


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def from_string(cls, value: str) -> Address:
        """Parse ``host:port``; raises :class:`SettingsError`."""
        host, _, port = value.rpartition(":")
        try:
            return cls(str(ip_address(host.strip("[]"))), _parse_port(port))
        except ValueError as error:
            raise SettingsError(
                f"{value!r} is not an IP address with a port, such as 127.0.0.1:8080",
            ) from error

    @classmethod
    def of_server(cls, value: str) -> Address:
        """Parse an address that connections are made to, so that port 0 is none.

        Raises :class:`SettingsError`.
        """
        address = cls.from_string(value)
        if not address.port:
            raise SettingsError(f"{value!r} has port 0; give the server's port")
        return address

    def __str__(self) -> str:
        """Return ``host:port`` in the format that :meth:`from_string` parses."""
        return (
            f"[{self.host}]:{self.port}"
            if ":" in self.host
            else f"{self.host}:{self.port}"
        )


def _parse_port(value: str) -> int:
    # int() also accepts signs, underscores, spaces and digits of other scripts.
    if not (value.isascii() and value.isdigit() and len(value) <= MAX_PORT_DIGITS):
        raise ValueError("the port is no decimal number")
    port = int(value)
    if port > MAX_PORT:
        raise ValueError("port out of range")
    return port


PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = Annotated[int, msgspec.Meta(gt=0)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All settings of one daemon.

    Addresses are ``host:port`` with an IP address, URLs start with ``http://`` or
    ``https://``, times are in seconds. ``tls_certificate``, ``tls_key`` and
    ``tls_authority`` are paths of PEM files; without them, peers may only be on
    loopback. ``seed`` of 0 takes the random seed from the operating system.
    """

    member_id: Name
    zone: Name
    listen: str
    service_listen: str
    peer_listen: str
    operator_listen: str
    store_url: str
    host_list_url: str
    store_prefix: str = "banyanshelf/"
    statsd: str = ""
    tls_certificate: str = ""
    tls_key: str = ""
    tls_authority: str = ""
    log_level: str = "info"
    store_calls_per_second: PositiveFloat = 50.0
    drain_timeout_s: PositiveFloat = 30.0
    health_notice_s: float = 1.0
    max_connections: PositiveInt = 2000
    max_body_bytes: PositiveInt = 1024 * 1024
    # Memory of all requests that are received, queued or in progress, in bytes.
    request_memory_bytes: PositiveInt = 128 * 1024 * 1024
    seed: int = 0

    @classmethod
    def from_config(
        cls,
        flags: Mapping[str, Any],
        environment: Mapping[str, str],
    ) -> Settings:
        """Merge flags and environment variables; raises :class:`SettingsError`."""
        names = cls.__struct_fields__
        values: dict[str, Any] = {}
        for key, value in environment.items():
            if key.startswith(ENVIRONMENT_PREFIX):
                values[key.removeprefix(ENVIRONMENT_PREFIX).lower()] = value
        values.update(flags)
        for name in values:
            if name not in names:
                raise SettingsError(
                    f"unknown setting {name!r}; known settings are {', '.join(names)}",
                )
        try:
            settings = msgspec.convert(values, cls, strict=False)
        except msgspec.ValidationError as error:
            raise SettingsError(
                f"{error}; give it as a flag or as a {ENVIRONMENT_PREFIX}* variable",
            ) from error
        settings.validate()
        return settings

    def validate(self) -> None:
        """Reject invalid or contradictory values; raises :class:`SettingsError`."""
        listeners = {
            name: Address.from_string(getattr(self, name))
            for name in ("listen", "service_listen", "peer_listen", "operator_listen")
        }
        if len(set(listeners.values())) != len(listeners):
            raise SettingsError(
                "two listeners have the same address; give each its own port"
            )
        for name in ("store_url", "host_list_url"):
            if not getattr(self, name).startswith(("http://", "https://")):
                raise SettingsError(
                    f"{name} {getattr(self, name)!r} is not an http:// or https:// URL",
                )
        if self.statsd:
            Address.from_string(self.statsd)
        tls_paths = [self.tls_certificate, self.tls_key, self.tls_authority]
        if any(tls_paths) and not all(tls_paths):
            raise SettingsError(
                "tls_certificate, tls_key and tls_authority must be given together",
            )
        peer_host = ip_address(listeners["peer_listen"].host)
        if not any(tls_paths) and not peer_host.is_loopback:
            raise SettingsError(
                f"peer_listen {self.peer_listen} is not on loopback; "
                "give tls_certificate, tls_key and tls_authority",
            )

    @property
    def uses_tls(self) -> bool:
        """Whether links between daemons use TLS."""
        return bool(self.tls_certificate)


def describe_settings() -> str:
    """Return the documentation of all settings as one table in Markdown."""
    rows = ["| flag | variable | default |", "|---|---|---|"]
    for field in msgspec.structs.fields(Settings):
        default = "required" if field.required else repr(field.default)
        flag = "--" + field.name.replace("_", "-")
        rows.append(
            f"| `{flag}` | `{ENVIRONMENT_PREFIX}{field.name.upper()}` | {default} |"
        )
    return "\n".join([inspect.getdoc(Settings) or "", "", *rows])
