"""Tests of VRRP, one file a module."""
