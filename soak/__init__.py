"""Randomized soak of real processes with faults from outside; see ``soak.run``."""
