"""Tests of the storage gateway, in a folder for each part."""
