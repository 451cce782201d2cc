"""State machine of a daemon from start to graceful shutdown.

A daemon is starting, serving, draining and stopped, in this order. The health check of
the platform's load balancer succeeds only while it is serving.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from automat import TypeMachineBuilder

StateHandler = Callable[[str], None]


class Lifecycle(Protocol):
    """Inputs and outputs of the daemon's state machine."""

    def ready(self) -> None:
        """Begin serving: a configuration text is active and the listeners are open."""

    def stop_requested(self) -> None:
        """Begin a graceful shutdown; repeated requests have no effect."""

    def drained(self) -> None:
        """Stop: no call is in progress any more, or the drain timeout is over."""

    def state_name(self) -> str:
        """Return the name of the current state."""

    def is_serving(self) -> bool:
        """Whether new calls are accepted."""


@dataclass
class LifecycleCore:
    """Data shared by the states: the handlers of state changes."""

    handlers: list[StateHandler] = field(default_factory=list)

    def notify(self, state_name: str) -> None:
        """Call every handler with the new state."""
        for handler in self.handlers:
            handler(state_name)


_builder = TypeMachineBuilder(Lifecycle, LifecycleCore)
_starting = _builder.state("starting")
_serving = _builder.state("serving")
_draining = _builder.state("draining")
_stopped = _builder.state("stopped")


@_starting.upon(Lifecycle.ready).to(_serving)
def _begin_serving(lifecycle: Lifecycle, core: LifecycleCore) -> None:
    core.notify("serving")


@_starting.upon(Lifecycle.stop_requested).to(_draining)
@_serving.upon(Lifecycle.stop_requested).to(_draining)
def _begin_draining(lifecycle: Lifecycle, core: LifecycleCore) -> None:
    core.notify("draining")


@_draining.upon(Lifecycle.drained).to(_stopped)
def _stop(lifecycle: Lifecycle, core: LifecycleCore) -> None:
    core.notify("stopped")


_draining.upon(Lifecycle.stop_requested).loop().returns(None)
_draining.upon(Lifecycle.ready).loop().returns(None)
_stopped.upon(Lifecycle.stop_requested).loop().returns(None)
_stopped.upon(Lifecycle.drained).loop().returns(None)
_serving.upon(Lifecycle.ready).loop().returns(None)

for _state, _name in (
    (_starting, "starting"),
    (_serving, "serving"),
    (_draining, "draining"),
    (_stopped, "stopped"),
):
    _state.upon(Lifecycle.state_name).loop().returns(_name)
    _state.upon(Lifecycle.is_serving).loop().returns(_name == "serving")

_factory = _builder.build()


def new_lifecycle(*handlers: StateHandler) -> Lifecycle:
    """Return a lifecycle in state ``starting`` that reports changes to ``handlers``."""
    return _factory(LifecycleCore(list(handlers)))
