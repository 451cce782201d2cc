"""How many requests the users allow a workspace with a quota."""

# The users' terms: in any 5 s, a workspace sends at most what its quota allows, a tenth
# more, and 20 requests.
WINDOW_S = 5.0
OVERSHOOT = 0.1
SLACK = 20


def allowed(per_s, burst):
    """Return the most requests of a workspace in one window."""
    return (per_s * WINDOW_S + burst) * (1 + OVERSHOOT) + SLACK


def most_in_window(times, since=0.0):
    """Return the greatest number of times in any window after ``since``."""
    times = sorted(each for each in times if each >= since)
    most = first = 0
    for last, time in enumerate(times):
        while times[first] <= time - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


class IdealQuota:
    """Counts the requests that one token bucket for the whole fleet would refuse."""

    def __init__(self, per_s, burst, now):
        self.per_s, self.burst = per_s, burst
        self.left, self.at = burst, now
        self.refused = 0

    def take(self, now):
        self.left = min(self.burst, self.left + self.per_s * (now - self.at))
        self.at = now
        if self.left >= 1:
            self.left -= 1
        else:
            self.refused += 1
