"""Shared builders, scripted servers and base classes for tests."""
