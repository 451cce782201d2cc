"""Deterministic load-balancing decisions of banyanshelf, free of I/O."""
