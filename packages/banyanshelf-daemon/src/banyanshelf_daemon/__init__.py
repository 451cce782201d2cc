"""The banyanshelf gateway daemon."""
