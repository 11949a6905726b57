"""The endpoint registry and the watch that keeps it up to date."""
