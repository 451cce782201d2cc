"""How many requests the users allow an upstream that states a limit."""

# The users' terms: in any 4 s, an upstream gets at most one and a half times what its
# limit allows, and 5 requests more, from 3 s after it has first stated the limit.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
STABLE_S = 3.0


def most_in_window(times, start_s, end_s):
    """Return the greatest number of times in any window within the given bounds."""
    times = sorted(each for each in times if start_s <= each <= end_s)
    most = first = 0
    for last, time in enumerate(times):
        while times[first] <= time - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def excess_of(times, limit_per_s, since_s, until_s):
    """Return the requests in the fullest window and how many are allowed, or None."""
    most = most_in_window(times, since_s + STABLE_S, until_s)
    allowed = ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_EXTRA
    return (most, allowed) if most > allowed else None
