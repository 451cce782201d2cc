"""At-most-once execution: claims in fenced shards."""
