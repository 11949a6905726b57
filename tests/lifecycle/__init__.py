"""Tests of request execution."""
