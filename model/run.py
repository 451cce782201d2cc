"""Checks every model and its broken variants, and prints the verdicts.

Example:
    ``python -m model.run`` takes about a minute; ``--small`` takes smaller bounds.

"""

from __future__ import annotations

import sys

import fire

from model import claims, configuration, slots
from model.verdicts import check

MODELS = (claims.MODEL, configuration.MODEL, slots.MODEL, slots.LOCAL_SHARE_MODEL)


def run(small: bool = False, only: str = "") -> None:
    """Check the models; exit with 1 unless every verdict is the expected one.

    ``only`` names one model.
    """
    failed = checked = 0
    for model in MODELS:
        if only not in ("", model.name):
            continue
        for variant in model.variants:
            verdict = check(model, variant, small=small)
            print(verdict.describe(), flush=True)
            checked += 1
            failed += not verdict.is_expected
    print(f"{checked} variants checked, {failed} not as expected")
    sys.exit(1 if failed or not checked else 0)


if __name__ == "__main__":
    fire.Fire(run)
