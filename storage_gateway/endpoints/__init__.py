"""The endpoint registry, and the discovery client that keeps it up to date."""
