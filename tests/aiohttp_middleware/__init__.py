"""Tests of the aiohttp.web middleware."""
