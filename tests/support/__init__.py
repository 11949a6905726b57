"""Builders, scripted peers and test cases that the tests share."""
