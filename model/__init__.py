"""Models of the core protocol for exhaustive checking."""
