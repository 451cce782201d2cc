"""Requests for a placement, and the decisions about them."""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import NamedTuple

from banyanshelf_core.model import Upstream, UpstreamId, WorkspaceName


class PlacementRequest(NamedTuple):
    """The requirements of a call; ``target`` and ``deadline`` are clock times.

    A call with ``only_idle`` is a second attempt that must not delay other calls. While
    the local zone has a usable upstream, upstreams of other zones are considered only
    if their last report is at most ``max_remote_report_age_s`` old. The call draws on
    the quota of its ``workspace`` if ``counts_toward_quota``, which the further
    attempts of a call do not.
    """

    work_class: str
    target: float
    deadline: float
    excluded: Collection[UpstreamId] = ()
    only_idle: bool = False
    priority: int = 0
    max_remote_report_age_s: float = math.inf
    workspace: WorkspaceName = ""
    counts_toward_quota: bool = False


class RunningAttempt(NamedTuple):
    """An attempt in progress; ``target`` and ``deadline`` are clock times.

    ``progress_s`` is the value that ``PlacementSelector.start_call`` returned.
    """

    upstream_id: UpstreamId
    work_class: str
    progress_s: float
    target: float
    deadline: float


class Placed(NamedTuple):
    """The selected upstream and the values that the decision was based on.

    ``expected_s`` is the expected time until the response. ``report_age_s`` is the age
    of the last load report, infinite before the first one. ``request_limit`` is the
    limit that the upstream states, in requests per second. ``is_lent`` is true for
    room that another zone has lent, whose load is known from the lender.
    """

    upstream: Upstream
    expected_s: float
    candidates: int
    reason: str
    in_flight: float = 0.0
    pace: float = 1.0
    report_age_s: float = 0.0
    is_same_zone: bool = True
    request_limit: float | None = None
    is_lent: bool = False


class Refused(NamedTuple):
    """The call was not placed, as no upstream can answer it in time."""

    reason: str
    retry_after_s: float
