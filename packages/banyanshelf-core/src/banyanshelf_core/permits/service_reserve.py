"""Time that a waiting call needs to be served once it has a permit."""

from banyanshelf_core.admission import WaitingCall

# A call with less time left than this many mean service times would often time out at
# the upstream, which costs a slot and helps nobody. Without it, an overload of 1.4
# times halved the throughput.
RESERVED_SERVICE_TIMES = 2
# The reserve is at most this part of the call's own time. Without the limit, a service
# whose calls take most of their time limit was refused altogether.
MAX_RESERVED_SHARE = 0.25


def service_reserve_s(call: WaitingCall, mean_service_s: float) -> float:
    """Return the seconds to keep for the call's service before its deadline."""
    return min(
        RESERVED_SERVICE_TIMES * mean_service_s,
        MAX_RESERVED_SHARE * (call.deadline - call.arrived),
    )
