"""Tests of the gateway process: its start, reload, shutdown and log."""
