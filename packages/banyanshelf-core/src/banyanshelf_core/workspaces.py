"""Finds the workspace of a request by the key that it carries."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from banyanshelf_core.errors import RequestError
from banyanshelf_core.matching import RouteDecision
from banyanshelf_core.model import WorkspaceName
from banyanshelf_core.text import OperatorText, Workspace

UNKNOWN_KEY = "the request carries no key of a workspace; send a valid one"


# Part of the limit after which keys are refused; the rest is for calls on their way.
TRUSTED_SHARE = 0.9
# A confirmation is up to two periods old when the next one fails to arrive.
CONFIRMATIONS_PER_LIMIT = 6


class RevocationRule(NamedTuple):
    """Whether keys are served by a gateway that may have missed their removal.

    With ``is_strict``, keys are refused once ``limit_s`` seconds have passed in which
    nothing showed that the text is still the newest one. Otherwise, they are served by
    the last known text, however old it is.
    """

    is_strict: bool = False
    limit_s: float = 5.0

    def admits_keys(self, now: float, confirmed_at: float) -> bool:
        """Whether keys are served; the text was the newest at ``confirmed_at``."""
        return not self.is_strict or now - confirmed_at <= TRUSTED_SHARE * self.limit_s

    def confirmation_period_s(self) -> float:
        """Return how often the text has to be confirmed."""
        if not self.is_strict:
            return math.inf
        return self.limit_s / CONFIRMATIONS_PER_LIMIT


class WorkspaceKeys:
    """The keys of one version of the operators' text.

    Example::

        keys = WorkspaceKeys.from_text(text)
        route = keys.admit(route, b"k-7f21")  # route.workspace is "franchise-12"

    """

    def __init__(
        self, workspace_by_name: Mapping[WorkspaceName, Workspace] | None
    ) -> None:
        self._workspace_by_name = workspace_by_name or {}
        self._are_keys_required = workspace_by_name is not None
        self._name_by_key = {
            key.encode(): name
            for name, workspace in self._workspace_by_name.items()
            for key in workspace.keys
        }

    @classmethod
    def from_text(cls, text: OperatorText) -> WorkspaceKeys:
        """Build the keys of an accepted text."""
        return cls(text.workspaces)

    def admit(self, route: RouteDecision, key: bytes) -> RouteDecision:
        """Return the route with the workspace that holds ``key`` and its priority.

        A request of an anonymous route needs no key, and an unknown one is ignored.
        Raises :class:`RequestError` with 401 for any other request without a known key.
        """
        if not self._are_keys_required:
            return route
        name = self._name_by_key.get(key)
        if name is not None:
            return self.assign(route, name)
        if route.anonymous:
            return route
        raise RequestError(401, UNKNOWN_KEY)

    def assign(self, route: RouteDecision, name: WorkspaceName) -> RouteDecision:
        """Return the route with a workspace that a trusted caller has named."""
        workspace = self._workspace_by_name.get(name)
        if workspace is None:
            return route
        if workspace.priority is None:
            return route._replace(workspace=name)
        return route._replace(workspace=name, priority=workspace.priority)
