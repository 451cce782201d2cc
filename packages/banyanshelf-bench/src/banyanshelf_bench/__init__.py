"""Local fleets, the demo and the measurements of banyanshelf."""
