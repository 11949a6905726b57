"""Tests of the endpoint registry and the discovery client."""
