"""The operators' command-line client of banyanshelf."""
