"""Tests of the VRRP package, one file for each module."""
