"""Runs a model with its broken variants and compares the verdicts with expectations."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

MAX_STATES = 3_000_000
# A search goes on after a counterexample, so broken variants are searched in stages.
VARIANT_STAGES = (3_000, 10_000, 30_000, 100_000, 300_000)


class Variant(NamedTuple):
    """A deliberately broken variant and the properties that must be refuted.

    ``flag`` of the empty string is the real protocol, which refutes nothing.
    """

    flag: str
    refutes: frozenset[str] = frozenset()


class Verdict(NamedTuple):
    """Result of checking one variant."""

    model: str
    variant: Variant
    states: int
    seconds: float
    holds_by_property: dict[str, bool | None]
    counterexample_lengths: dict[str, int]

    @property
    def is_expected(self) -> bool:
        """Whether exactly the named properties were refuted.

        A variant may refute further properties; the real protocol may refute none, and
        its search must have been exhaustive.
        """
        refuted = {
            name for name, holds in self.holds_by_property.items() if holds is False
        }
        if self.variant.flag:
            return refuted >= self.variant.refutes and bool(self.variant.refutes)
        return all(holds is True for holds in self.holds_by_property.values())

    def describe(self) -> str:
        """Return the lines that the run prints."""
        lines = [
            f"{self.model}, variant {self.variant.flag or 'none (the protocol)'}: "
            f"{self.states} states in {self.seconds:.1f} s"
        ]
        for name, holds in self.holds_by_property.items():
            match holds:
                case True:
                    verdict = "holds"
                case False:
                    steps = self.counterexample_lengths[name]
                    verdict = f"refuted in {steps} steps"
                case None:
                    verdict = "undecided, the search was cut"
            expected = "must be refuted" if name in self.variant.refutes else ""
            lines.append(f"  {name}: {verdict} {expected}".rstrip())
        lines.append("  as expected" if self.is_expected else "  NOT AS EXPECTED")
        return "\n".join(lines)


class CheckedModel(NamedTuple):
    """A model with its variants and bounds.

    ``build(flag, bound)`` returns the model with the named fault. Broken variants have
    a bound of their own, large enough for the counterexample.
    """

    name: str
    build: Callable[[str, int], Protocol]
    variants: tuple[Variant, ...]
    bound_name: str
    bound: int
    small_bound: int
    variant_bound: int


def check(model: CheckedModel, variant: Variant, *, small: bool = False) -> Verdict:
    """Check one variant of a model; ``small`` takes the smaller bound."""
    started = time.monotonic()
    if not variant.flag:
        bound = model.small_bound if small else model.bound
        result = check_safety(model.build("", bound), max_states=MAX_STATES)
        return _verdict(model, variant, bound, result, started)
    protocol = model.build(variant.flag, model.variant_bound)
    for max_states in VARIANT_STAGES:
        result = check_safety(protocol, max_states=max_states)
        verdict = _verdict(model, variant, model.variant_bound, result, started)
        if verdict.is_expected:
            break
    return verdict


def _verdict(
    model: CheckedModel,
    variant: Variant,
    bound: int,
    result: dict[str, Any],
    started: float,
) -> Verdict:
    properties = result["properties"]
    return Verdict(
        f"{model.name} ({model.bound_name} {bound})",
        variant,
        result["reachable_states"],
        time.monotonic() - started,
        {key: each["holds"] for key, each in properties.items()},
        {
            key: len(each["counterexample"]) - 1
            for key, each in properties.items()
            if each["counterexample"]
        },
    )
