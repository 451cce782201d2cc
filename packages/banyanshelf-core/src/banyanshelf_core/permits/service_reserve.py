"""Time to reserve before a call's deadline for running it at the upstream."""

from banyanshelf_core.admission import WaitingCall

# A call with less time left than this many mean service times would often time out at
# the upstream and waste a slot. Without this reserve, an overload of 1.4 times the
# capacity halved the throughput.
RESERVED_SERVICE_TIMES = 2
# The reserve is at most this share of the time between a call's arrival and deadline.
# Without the limit, every call was refused for a service whose calls take most of
# their time limit.
MAX_RESERVED_SHARE = 0.25


def service_reserve_s(call: WaitingCall, mean_service_s: float) -> float:
    """Return the seconds to reserve for running a call before its deadline."""
    return min(
        RESERVED_SERVICE_TIMES * mean_service_s,
        MAX_RESERVED_SHARE * (call.deadline - call.arrived),
    )
