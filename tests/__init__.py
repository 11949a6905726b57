"""Tests of the storage gateway, one folder for each part."""
