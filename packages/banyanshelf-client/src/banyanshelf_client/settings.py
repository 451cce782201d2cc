"""Settings of the operators' client, from flags and environment variables."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from banyanshelf_core.errors import SettingsError

ENVIRONMENT_PREFIX = "BANYANSHELF_"


class ClientSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses of the store and the daemons.

    ``daemons`` lists the operator addresses of daemons as ``host:port``, separated by
    commas. Environment variables that only the daemon uses are ignored.
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
        """Merge flags and environment variables, with flags taking precedence.

        Raises :class:`SettingsError` if a value has the wrong type.
        """
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
        """Raise :class:`SettingsError` unless ``store_url`` is an HTTP or HTTPS URL."""
        if not self.store_url.startswith(("http://", "https://")):
            raise SettingsError(
                "the store is not known; give --store-url or BANYANSHELF_STORE_URL",
            )

    def daemon_addresses(self) -> list[str]:
        """Return daemon addresses; raises :class:`SettingsError` if there are none."""
        addresses = [each.strip() for each in self.daemons.split(",") if each.strip()]
        if not addresses:
            raise SettingsError(
                "no daemon is known; give --daemons or BANYANSHELF_DAEMONS as "
                "host:port,host:port",
            )
        return addresses
