"""Settings of the operators' client, from flags and environment variables."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from banyanshelf_core.errors import SettingsError

ENVIRONMENT_PREFIX = "BANYANSHELF_"


class ClientSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Where the store and the daemons are.

    ``daemons`` lists the operator addresses of daemons as ``host:port``, separated by
    commas. The variables of the daemon that the client does not need are ignored.
    """

    store_url: str = ""
    store_prefix: str = "banyanshelf/"
    store_calls_per_second: float = 20.0
    daemons: str = ""
    seed: int = 0

    @classmethod
    def from_config(
        cls,
        flags: Mapping[str, Any],
        environment: Mapping[str, str],
    ) -> ClientSettings:
        """Merge flags and environment variables; raises :class:`SettingsError`."""
        values: dict[str, Any] = {}
        for name in cls.__struct_fields__:
            variable = ENVIRONMENT_PREFIX + name.upper()
            if flags.get(name):
                values[name] = flags[name]
            elif variable in environment:
                values[name] = environment[variable]
        try:
            return msgspec.convert(values, cls, strict=False)
        except msgspec.ValidationError as error:
            raise SettingsError(f"{error}; correct the flag or variable") from error

    def require_store(self) -> None:
        """Refuse to go on without a store; raises :class:`SettingsError`."""
        if not self.store_url.startswith(("http://", "https://")):
            raise SettingsError(
                "the store is not known; give --store-url or BANYANSHELF_STORE_URL",
            )

    def daemon_addresses(self) -> list[str]:
        """Return the daemons; raises :class:`SettingsError` if there are none."""
        addresses = [each.strip() for each in self.daemons.split(",") if each.strip()]
        if not addresses:
            raise SettingsError(
                "no daemon is known; give --daemons or BANYANSHELF_DAEMONS as "
                "host:port,host:port",
            )
        return addresses
